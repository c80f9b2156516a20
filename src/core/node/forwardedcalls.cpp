#include "core/node/forwardedcalls.h"

#include <utility>

namespace wisteriafork {

namespace {

bool isServingTrouble(RefusalReason reason)
{
    return reason == RefusalReason::ServerFailed || reason == RefusalReason::Draining || reason == RefusalReason::NotConfigured;
}

} // namespace

ForwardedCalls::ForwardedCalls(NodeParts &parts, AttemptObserver &observer) : m_parts(parts), m_observer(observer)
{
}

std::optional<Refusal> ForwardedCalls::send(CallState &state, const NodeId &to, ForwardMode mode, std::string reason)
{
    const MemberInfo *member = m_parts.listedMember(to);
    if (member == nullptr) {
        return Refusal{.kind = RefusalKind::NotRun, .reason = RefusalReason::NoInstance};
    }
    if (const std::optional<Refusal> refusal = m_parts.edge.startWaiting(state.call)) {
        return refusal;
    }
    m_parts.router.sent(state.call.service, to);
    state.stage = CallStage::Forwarded;
    state.target = to;
    state.forwardMode = mode;
    state.sentAt = m_parts.clock.now();
    m_parts.recordDecision(state, state.retriesMade > 0 ? DecisionKind::Retried : DecisionKind::Forwarded, to, std::move(reason));
    m_parts.actions.add(ForwardCall{.id = state.call.id,
                                    .call = state.call,
                                    .to = to,
                                    .address = member->peerAddress,
                                    .mode = mode,
                                    .remaining = state.call.deadline - m_parts.clock.now(),
                                    .attemptsLeft = state.budget.startAttempt()});
    return std::nullopt;
}

void ForwardedCalls::cancel(CallState &state)
{
    endWaiting(state);
    m_parts.router.failed(state.call.service, state.target);
    m_parts.actions.add(CancelForward{.id = state.call.id});
}

CallState *ForwardedCalls::findForwarded(CallId id, const NodeId &peer)
{
    CallState *state = m_parts.calls.find(id);
    const bool matches = state != nullptr && (state->target == peer || !m_parts.options.mechanisms.matchAnswers);
    const bool current = matches && state->stage == CallStage::Forwarded;
    return current ? state : nullptr;
}

void ForwardedCalls::learn(CallState &state, const LoadReport &load, bool answered)
{
    const Duration elapsed = m_parts.clock.now() - state.sentAt;
    m_parts.edge.learn(state.call, m_parts.attribution.parentOperation(state.call.id), load, elapsed, answered);
    m_parts.membership.noteAnswer(state.target, load.leaving);
    endWaiting(state);
}

void ForwardedCalls::endWaiting(CallState &state)
{
    m_parts.edge.stopWaiting(state.call);
    state.stage = CallStage::Placing;
}

void ForwardedCalls::on(const PeerAnswered &event)
{
    if (CallState *state = findForwarded(event.id, event.peer)) {
        m_parts.router.answered(state->call.service, event.peer, event.load, m_parts.clock.now() - state->sentAt);
        learn(*state, event.load, true);
        m_observer.forwardEnded(*state, AttemptAnswered{.status = event.status, .answerBytes = event.answerBytes});
    }
}

void ForwardedCalls::on(const PeerRefused &event)
{
    if (CallState *state = findForwarded(event.id, event.peer)) {
        // An instance whose backend server is down refuses fast and reports no load; taken for an answer, it would attract all calls.
        if (isServingTrouble(event.refusal.reason)) {
            m_parts.router.failed(state->call.service, event.peer);
        } else {
            m_parts.router.answered(state->call.service, event.peer, event.load, m_parts.clock.now() - state->sentAt);
        }
        learn(*state, event.load, false);
        m_observer.forwardEnded(*state, AttemptRefused{.refusal = event.refusal});
    }
}

void ForwardedCalls::on(const PeerFailed &event)
{
    CallState *state = findForwarded(event.id, event.peer);
    if (state == nullptr) {
        return;
    }
    m_parts.router.failed(state->call.service, event.peer);
    endWaiting(*state);
    if (event.failure != PeerFailure::TimedOut) {
        m_parts.membership.noteUnreachable(event.peer);
    }
    const bool sent = event.failure != PeerFailure::NotSent;
    const Refusal refusal{.kind = sent ? RefusalKind::OutcomeUnknown : RefusalKind::NotRun, .reason = RefusalReason::OwnerUnreachable};
    m_observer.forwardEnded(*state, AttemptRefused{.refusal = refusal});
}

} // namespace wisteriafork
