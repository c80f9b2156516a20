#include "core/node/callflow.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

namespace {

bool isForLoad(RefusalReason reason)
{
    return reason == RefusalReason::Overloaded || reason == RefusalReason::ShareUsedUp || reason == RefusalReason::DeadlineTooShort;
}

AttemptFailure failureOf(const Refusal &refusal)
{
    if (isForLoad(refusal.reason)) {
        return AttemptFailure::RefusedForLoad;
    }
    if (refusal.reason == RefusalReason::SuspectedOfCrash) {
        return AttemptFailure::FailedBelow;
    }
    return refusal.kind == RefusalKind::NotRun ? AttemptFailure::RefusedNotRun : AttemptFailure::Unknown;
}

const char *describe(RouteReason reason)
{
    switch (reason) {
    case RouteReason::OnlyCandidate:
        return "only usable instance";
    case RouteReason::LessLoadedOfTwo:
        return "less loaded of two instances";
    case RouteReason::SpilledOver:
        return "instances of this failure domain are busier";
    case RouteReason::OtherFailureDomain:
        break;
    }
    return "no usable instance in this failure domain";
}

} // namespace

CallFlow::CallFlow(NodeParts &parts)
    : m_parts(parts), m_local(parts, *this), m_forwarded(parts, *this), m_keyed(parts, m_local, m_forwarded)
{
}

void CallFlow::on(const CallArrived &event)
{
    CallState &state = m_parts.calls.add({.call = event.call, .from = event.from, .mode = event.mode, .traceId = event.traceId});
    if (const std::optional<Refusal> refusal = checkArrival(state)) {
        refuse(state, *refusal);
        return;
    }
    state.budget = m_parts.retries.budgetOf(state.call);
    route(state);
}

std::optional<Refusal> CallFlow::checkArrival(CallState &state)
{
    CallDescription &call = state.call;
    // Only the owner of a key knows whether an earlier attempt ran, so a refusal here is certain for idempotent calls only.
    const auto uncertain = [&call](Refusal refusal) {
        if (!call.idempotent) {
            refusal.kind = RefusalKind::OutcomeUnknown;
        }
        return refusal;
    };
    if (m_parts.configuration.operation(call.service, call.operation) == nullptr) {
        return uncertain({.kind = RefusalKind::NotRun, .reason = RefusalReason::NotConfigured});
    }
    if (call.origin == CallOrigin::LocalService) {
        m_parts.attribution.attribute(call, {.requestId = call.requestId, .traceId = state.traceId}, m_parts.clock.now());
    }
    if (call.origin == CallOrigin::Caller) {
        call.attemptsLeft = m_parts.retries.initialAttempts();
    }
    if (call.origin != CallOrigin::Peer) {
        m_parts.retries.freshCall();
        m_parts.edge.classify(call);
        if (const std::optional<Refusal> refusal = m_parts.edge.check(call)) {
            return uncertain(*refusal);
        }
    }
    if (m_parts.crashGuard.banned(call.fingerprint)) {
        return Refusal{.kind = RefusalKind::OutcomeUnknown, .reason = RefusalReason::SuspectedOfCrash};
    }
    return std::nullopt;
}

void CallFlow::route(CallState &state)
{
    const bool toRunHere
        = state.call.origin == CallOrigin::Peer && (state.mode == ForwardMode::Serve || state.mode == ForwardMode::Execute);
    if (!toRunHere) {
        if (state.call.idempotent) {
            placeAnywhere(state);
        } else {
            m_keyed.place(state);
        }
        return;
    }
    if (m_parts.draining && m_parts.options.mechanisms.avoidLeaving) {
        refuse(state, {.kind = RefusalKind::NotRun, .reason = RefusalReason::Draining});
        return;
    }
    if (state.mode == ForwardMode::Serve) {
        if (const std::optional<Refusal> refusal = m_parts.edge.checkBelow(state.call)) {
            refuse(state, *refusal);
            return;
        }
    }
    m_local.run(state);
}

void CallFlow::placeAnywhere(CallState &state)
{
    std::vector<NodeId> excluded = state.tried;
    if (m_parts.draining && m_parts.options.mechanisms.avoidLeaving) {
        excluded.push_back(m_parts.self());
    }
    const std::optional<RouteChoice> choice
        = m_parts.router.choose(state.call.service, excluded, state.failedDomain.empty() ? nullptr : &state.failedDomain);
    if (!choice) {
        refuse(state, {.kind = RefusalKind::NotRun, .reason = RefusalReason::NoInstance});
        return;
    }
    if (choice->node == m_parts.self()) {
        state.target = choice->node;
        m_parts.router.sent(state.call.service, choice->node);
        m_local.run(state);
        return;
    }
    if (const std::optional<Refusal> refusal = m_forwarded.send(state, choice->node, ForwardMode::Serve, describe(choice->reason))) {
        refuse(state, *refusal);
    }
}

void CallFlow::on(const CallerGone &event)
{
    CallState *state = m_parts.calls.find(event.id);
    if (state == nullptr || (!state->call.idempotent && m_keyed.withdraw(*state))) {
        return;
    }
    if (state->stage == CallStage::Forwarded) {
        m_forwarded.cancel(*state);
    } else {
        m_local.cancel(*state);
    }
    if (CallState *remaining = m_parts.calls.find(event.id)) {
        m_parts.recordDecision(*remaining, DecisionKind::Cancelled, {}, "the caller is gone");
        finish(*remaining);
    }
}

void CallFlow::on(const ServerAnswered &event)
{
    m_local.on(event);
}

void CallFlow::on(const ServerFailed &event)
{
    m_local.on(event);
}

void CallFlow::on(const PeerAnswered &event)
{
    m_forwarded.on(event);
}

void CallFlow::on(const PeerRefused &event)
{
    m_forwarded.on(event);
}

void CallFlow::on(const PeerFailed &event)
{
    m_forwarded.on(event);
}

void CallFlow::on(const Wake &)
{
    m_keyed.wake();
    while (!m_delayed.empty() && m_delayed.begin()->first <= m_parts.clock.now()) {
        const CallId id = m_delayed.begin()->second;
        m_delayed.erase(m_delayed.begin());
        if (CallState *state = m_parts.calls.find(id); state != nullptr && state->stage == CallStage::Placing) {
            route(*state);
        }
    }
}

void CallFlow::tick()
{
    m_keyed.tick();
    m_local.poll();
}

void CallFlow::localAttemptEnded(CallState &state, const AttemptResult &result)
{
    if (state.target == m_parts.self()) {
        m_parts.router.answered(state.call.service, state.target, m_parts.loadReport(state.call.operation),
                                m_parts.clock.now() - state.sentAt);
    }
    state.stage = CallStage::Placing;
    attemptEnded(state, m_parts.self(), result);
}

void CallFlow::forwardEnded(CallState &state, const AttemptResult &result)
{
    attemptEnded(state, state.target, result);
}

void CallFlow::attemptEnded(CallState &state, const NodeId &node, const AttemptResult &result)
{
    if (state.ownedRun) {
        m_keyed.runEnded(state, result);
    } else if (const auto *refused = std::get_if<AttemptRefused>(&result)) {
        retryOrRefuse(state, node, refused->refusal);
    } else {
        relay(state);
    }
}

void CallFlow::retryOrRefuse(CallState &state, const NodeId &node, const Refusal &refusal)
{
    if (state.call.origin == CallOrigin::Peer) {
        refuse(state, refusal);
        return;
    }
    state.mayHaveRun = state.mayHaveRun || refusal.kind == RefusalKind::OutcomeUnknown;
    const AttemptFailure failure = failureOf(refusal);
    if (failure == AttemptFailure::RefusedNotRun || failure == AttemptFailure::NotSent) {
        state.budget.takeBack();
    }
    const TimePoint now = m_parts.clock.now();
    const std::optional<Duration> delay
        = m_parts.retries.decide(state.call, state.budget, failure, state.retriesMade, state.call.deadline - now);
    if (!delay) {
        // A booking that never left this node can be retried, but another copy of it may have run: only its owner may say that none has.
        state.mayHaveRun = state.mayHaveRun || (!state.call.idempotent && refusal.reason == RefusalReason::OwnerUnreachable);
        refuse(state, refusal);
        return;
    }
    ++state.retriesMade;
    state.tried.push_back(node);
    const MemberInfo *member = m_parts.listedMember(node);
    state.failedDomain = member == nullptr ? DomainId() : member->domain;
    state.stage = CallStage::Placing;
    m_delayed.emplace(now + *delay, state.call.id);
    m_parts.actions.add(ScheduleWake{.at = now + *delay});
}

void CallFlow::relay(CallState &state)
{
    m_parts.actions.add(RelayAnswer{.id = state.call.id, .load = m_parts.loadReport(state.call.operation)});
    finish(state);
}

void CallFlow::refuse(CallState &state, const Refusal &refusal)
{
    Refusal stated = refusal;
    if (state.mayHaveRun) {
        stated.kind = RefusalKind::OutcomeUnknown;
    }
    m_parts.recordDecision(state, DecisionKind::Refused, {}, "no attempt is allowed or possible");
    m_parts.actions.add(RespondRefused{.id = state.call.id, .refusal = stated, .load = m_parts.loadReport(state.call.operation)});
    finish(state);
}

void CallFlow::finish(CallState &state)
{
    if (!state.call.idempotent) {
        m_keyed.closed(state);
    }
    m_parts.attribution.childEnded(state.call.id, m_parts.clock.now());
    m_parts.calls.remove(state.call.id);
}

} // namespace wisteriafork
