#include "core/node/localcalls.h"

#include <utility>

namespace wisteriafork {

namespace {

CallOutcome outcomeOf(ServerFailure failure)
{
    switch (failure) {
    case ServerFailure::ConnectionRefused:
    case ServerFailure::Overloaded:
        return CallOutcome::Overloaded;
    case ServerFailure::ConnectionBroken:
        return CallOutcome::Failed;
    case ServerFailure::TimedOut:
        break;
    }
    return CallOutcome::TimedOut;
}

Refusal refusalOf(ServerFailure failure)
{
    switch (failure) {
    case ServerFailure::ConnectionRefused:
        return {.kind = RefusalKind::NotRun, .reason = RefusalReason::ServerFailed};
    case ServerFailure::Overloaded:
        return {.kind = RefusalKind::NotRun, .reason = RefusalReason::Overloaded};
    case ServerFailure::ConnectionBroken:
    case ServerFailure::TimedOut:
        break;
    }
    return {.kind = RefusalKind::OutcomeUnknown, .reason = RefusalReason::ServerFailed};
}

} // namespace

LocalCalls::LocalCalls(NodeParts &parts, AttemptObserver &observer) : m_parts(parts), m_observer(observer)
{
}

void LocalCalls::run(CallState &state)
{
    apply(state, m_parts.admission.offer(state.call));
}

void LocalCalls::apply(CallState &state, const AdmissionResult &result)
{
    switch (result.verdict) {
    case AdmissionVerdict::Run:
        start(state);
        return;
    case AdmissionVerdict::Queued:
        state.stage = CallStage::Queued;
        m_parts.recordDecision(state, DecisionKind::Queued, m_parts.self(), "all slots of the limit are in use");
        return;
    case AdmissionVerdict::Refused:
        endRefused(state, result.refusal);
        return;
    }
}

void LocalCalls::start(CallState &state)
{
    switch (m_parts.crashGuard.start(state.call.id, state.call.fingerprint)) {
    case CrashVerdict::Run:
    case CrashVerdict::RunAlone:
        break;
    case CrashVerdict::Wait:
        m_parts.admission.cancel(state.call.id);
        state.stage = CallStage::HeldAsSuspect;
        m_held.push_back(state.call.id);
        m_parts.recordDecision(state, DecisionKind::Queued, m_parts.self(), "another suspected request is running");
        return;
    case CrashVerdict::Refuse:
        m_parts.admission.cancel(state.call.id);
        endRefused(state, {.kind = RefusalKind::OutcomeUnknown, .reason = RefusalReason::SuspectedOfCrash});
        return;
    }
    const OperationConfiguration *operation = m_parts.configuration.operation(state.call.service, state.call.operation);
    CallDescription handed = state.call;
    handed.attemptsLeft = state.budget.startAttempt();
    m_parts.attribution.started(handed, state.traceId, operation == nullptr ? 0 : static_cast<std::uint32_t>(operation->calls.size()));
    state.stage = CallStage::RunningLocally;
    state.sentAt = m_parts.clock.now();
    m_parts.recordDecision(state, DecisionKind::RunLocally, m_parts.self(), "admitted to the local backend server");
    m_parts.actions.add(
        RunLocal{.id = state.call.id, .remaining = state.call.deadline - m_parts.clock.now(), .attemptsLeft = handed.attemptsLeft});
}

void LocalCalls::release(CallState &state, CallOutcome outcome)
{
    const Duration waited = m_parts.attribution.finished(state.call.id, m_parts.clock.now());
    m_parts.admission.finish(state.call.id, outcome, waited);
}

void LocalCalls::endRefused(CallState &state, const Refusal &refusal)
{
    m_observer.localAttemptEnded(state, AttemptRefused{.refusal = refusal});
}

void LocalCalls::cancel(CallState &state)
{
    if (state.stage == CallStage::Queued) {
        m_parts.admission.cancel(state.call.id);
    } else if (state.stage == CallStage::HeldAsSuspect) {
        std::erase(m_held, state.call.id);
    } else if (state.stage == CallStage::RunningLocally) {
        m_parts.attribution.finished(state.call.id, m_parts.clock.now());
        m_parts.admission.cancel(state.call.id);
        m_parts.crashGuard.abandoned(state.call.id);
        m_parts.actions.add(CancelLocal{.id = state.call.id});
    }
    poll();
}

void LocalCalls::on(const ServerAnswered &event)
{
    CallState *state = m_parts.calls.find(event.id);
    if (state == nullptr || state->stage != CallStage::RunningLocally) {
        return;
    }
    release(*state, CallOutcome::Completed);
    m_parts.crashGuard.completed(event.id);
    m_observer.localAttemptEnded(*state, AttemptAnswered{.status = event.status, .answerBytes = event.answerBytes});
    poll();
}

void LocalCalls::on(const ServerFailed &event)
{
    CallState *state = m_parts.calls.find(event.id);
    if (state == nullptr || state->stage != CallStage::RunningLocally) {
        return;
    }
    const bool begun = m_parts.attribution.hasCalledBelow(event.id);
    release(*state, outcomeOf(event.failure));
    if (event.failure == ServerFailure::ConnectionBroken) {
        m_parts.crashGuard.connectionBroken(event.id);
    } else {
        m_parts.crashGuard.abandoned(event.id);
    }
    if (event.failure == ServerFailure::ConnectionRefused) {
        m_parts.crashGuard.connectionRefused();
        m_parts.admission.serverRestarted();
    }
    Refusal refusal = refusalOf(event.failure);
    if (begun) {
        // A server that has made calls for the request has begun to run it, whatever its status says, and even if they took no time.
        refusal.kind = RefusalKind::OutcomeUnknown;
    }
    endRefused(*state, refusal);
    poll();
}

void LocalCalls::poll()
{
    for (const AdmissionResult &result : m_parts.admission.poll()) {
        CallState *state = m_parts.calls.find(result.id);
        if (state == nullptr) {
            continue;
        }
        const bool starts = result.verdict == AdmissionVerdict::Run;
        if (const std::optional<Refusal> refusal = starts ? checkAgain(*state) : std::nullopt) {
            m_parts.admission.cancel(result.id);
            endRefused(*state, *refusal);
        } else {
            apply(*state, result);
        }
    }
    offerHeldCalls();
}

std::optional<Refusal> LocalCalls::checkAgain(const CallState &state)
{
    // The services below may have closed while the call waited. An owned run has been decided on and is not checked.
    const bool external = state.call.origin == CallOrigin::Peer && state.mode == ForwardMode::Serve && !state.call.internal;
    return external ? m_parts.edge.checkBelow(state.call) : std::nullopt;
}

void LocalCalls::offerHeldCalls()
{
    const std::vector<CallId> held = std::exchange(m_held, {});
    for (const CallId id : held) {
        CallState *state = m_parts.calls.find(id);
        if (state == nullptr) {
            continue;
        }
        if (m_parts.clock.now() >= state->call.deadline) {
            endRefused(*state, {.kind = RefusalKind::NotRun, .reason = RefusalReason::DeadlineTooShort});
        } else {
            run(*state);
        }
    }
}

} // namespace wisteriafork
