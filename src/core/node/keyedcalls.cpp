#include "core/node/keyedcalls.h"

#include "core/ownership/likelyowner.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wisteriafork {

KeyedCalls::KeyedCalls(NodeParts &parts, LocalCalls &local, ForwardedCalls &forwarded)
    : m_parts(parts), m_local(local), m_forwarded(forwarded), m_openCopies(parts.clock)
{
}

void KeyedCalls::place(CallState &state)
{
    if (state.mode == ForwardMode::Own) {
        decide(state);
        return;
    }
    const auto list = m_parts.hostLists.find(state.call.service);
    const auto excluded = [&state](const MemberInfo &member) {
        return std::find(state.tried.begin(), state.tried.end(), member.name) != state.tried.end();
    };
    const MemberInfo *owner = list == m_parts.hostLists.end() ? nullptr : likelyOwner(state.call.key, list->second.members, excluded);
    if (owner == nullptr) {
        refuse(state, {.kind = RefusalKind::OutcomeUnknown, .reason = RefusalReason::NoInstance});
    } else if (owner->name == m_parts.self()) {
        decide(state);
    } else if (std::optional<Refusal> refusal
               = m_forwarded.send(state, owner->name, ForwardMode::Own, "first in rank for the request key")) {
        refusal->kind = RefusalKind::OutcomeUnknown;
        refuse(state, *refusal);
    }
}

void KeyedCalls::decide(CallState &state)
{
    const OperationConfiguration *operation = m_parts.configuration.operation(state.call.service, state.call.operation);
    if (operation == nullptr || !m_ownership) {
        refuse(state, {.kind = RefusalKind::OutcomeUnknown, .reason = RefusalReason::NotConfigured});
        return;
    }
    state.stage = CallStage::WaitingForOwner;
    const TimePoint arrivedAt = state.from.empty() ? m_openCopies.opened(state.call.id, state.call.key) : m_parts.clock.now();
    handle(KeyedCall{.call = state.call.id,
                     .key = state.call.key,
                     .retention = retentionTime(*operation, m_parts.configuration.current()->bounds),
                     .deadline = state.call.deadline,
                     .from = state.from,
                     .arrivedAt = arrivedAt});
}

void KeyedCalls::runEnded(CallState &state, const AttemptResult &result)
{
    const RequestKey key = state.call.key;
    const CallId id = state.call.id;
    if (const auto *answered = std::get_if<AttemptAnswered>(&result)) {
        handle(ExecutionFinished{.key = key, .call = id, .answerBytes = answered->answerBytes});
        if (CallState *call = m_parts.calls.find(id)) {
            if (!call->callerGone) {
                m_parts.actions.add(RelayAnswer{.id = id, .load = m_parts.loadReport(call->call.operation)});
            }
            finish(*call);
        }
        return;
    }
    const Refusal &refusal = std::get<AttemptRefused>(result).refusal;
    if (refusal.kind == RefusalKind::NotRun && !state.target.empty()) {
        // Another instance refused to run the key for this owner. Its load is no reason to refuse a booking here, where reads may still be
        // admitted; the local backend server's own admission decides.
        state.target = NodeId();
        m_local.run(state);
        return;
    }
    state.ownedRun = false;
    if (refusal.kind == RefusalKind::NotRun) {
        handle(ExecutionNotRun{.key = key, .reason = refusal.reason, .retryAfter = refusal.retryAfter});
    } else {
        handle(ExecutionUnknown{.key = key, .reason = refusal.reason});
    }
    if (CallState *call = m_parts.calls.find(id); call != nullptr && call->callerGone) {
        finish(*call);
    }
}

bool KeyedCalls::withdraw(CallState &state)
{
    const bool runs = state.ownedRun;
    handle(CallWithdrawn{.call = state.call.id});
    state.callerGone = true;
    return runs;
}

void KeyedCalls::closed(const CallState &state)
{
    if (state.from.empty()) {
        m_openCopies.closed(state.call.id);
    }
}

void KeyedCalls::receive(const NodeId &from, const OwnershipMessage &message)
{
    if (const auto *check = std::get_if<CopyCheck>(&message)) {
        const MemberInfo *owner = m_parts.listedMember(from);
        if (owner != nullptr) {
            m_parts.actions.add(
                SendPeerMessage{.to = from, .address = owner->peerAddress, .message = OwnershipMessage(m_openCopies.answer(*check))});
        }
        return;
    }
    handle(OwnershipMessageReceived{.from = from, .message = message});
}

OwnershipOptions KeyedCalls::ownershipOptions() const
{
    OwnershipOptions options = m_parts.options.ownership;
    const EnvironmentBounds &bounds = m_parts.configuration.current()->bounds;
    options.processIncarnation = options.self.incarnation;
    options.self.incarnation += m_exclusions;
    options.hostListLag = bounds.hostListLag;
    options.isolationBound = bounds.isolationBound;
    options.maximumRetention = Duration(0);
    if (const ServiceConfiguration *service = m_parts.configuration.service(m_parts.options.self.service)) {
        for (const OperationConfiguration &operation : service->operations) {
            if (!operation.idempotent) {
                options.maximumRetention = std::max<Duration>(options.maximumRetention, retentionTime(operation, bounds));
            }
        }
    }
    return options;
}

void KeyedCalls::configure()
{
    if (m_ownership) {
        return;
    }
    startOwnership();
}

void KeyedCalls::startOwnership()
{
    m_ownership = std::make_unique<Ownership>(ownershipOptions(), m_parts.clock);
    const auto list = m_parts.hostLists.find(m_parts.options.self.service);
    if (list != m_parts.hostLists.end()) {
        hostListChanged(list->second);
    }
    if (m_stopping) {
        // The planned stop began before the first configuration.
        handle(StopRequested{});
    }
}

void KeyedCalls::hostListChanged(const HostList &list)
{
    handle(ServiceListRead{.list = list});
}

void KeyedCalls::unreachable(const NodeId &member)
{
    handle(MemberUnreachable{.member = member});
}

void KeyedCalls::tick()
{
    m_openCopies.tick();
    if (m_ownership && m_ownership->excluded() && !m_stopping) {
        // The new incarnation joins like that of a new process and remembers nothing; the fenced one has lost its keys.
        ++m_exclusions;
        startOwnership();
    }
    handle(OwnershipTick{});
}

void KeyedCalls::wake()
{
    handle(OwnershipWake{});
}

void KeyedCalls::stop()
{
    m_stopping = true;
    handle(StopRequested{});
}

bool KeyedCalls::isReleased() const
{
    return m_released || !m_ownership || (m_stopping && m_ownership->excluded());
}

void KeyedCalls::handle(const OwnershipInput &input)
{
    if (!m_ownership) {
        return;
    }
    for (const OwnershipOutput &output : m_ownership->handle(input)) {
        std::visit([this](const auto &concrete) { on(concrete); }, output);
    }
}

void KeyedCalls::on(const RunKey &output)
{
    CallState *state = m_parts.calls.find(output.call);
    if (state == nullptr) {
        handle(ExecutionNotRun{.key = output.key, .reason = RefusalReason::DeadlineTooShort});
        return;
    }
    state->ownedRun = true;
    if (const std::optional<NodeId> spare = findSpareInstance(*state)) {
        if (!m_forwarded.send(*state, *spare, ForwardMode::Execute, "the owner's backend server has no free slot")) {
            return;
        }
    }
    m_local.run(*state);
}

std::optional<NodeId> KeyedCalls::findSpareInstance(const CallState &state)
{
    const LoadReport own = m_parts.admission.report();
    if (own.running < own.limit) {
        return std::nullopt;
    }
    const std::array<NodeId, 1> excluded{m_parts.self()};
    const std::optional<RouteChoice> choice = m_parts.router.choose(state.call.service, excluded);
    if (!choice) {
        return std::nullopt;
    }
    return choice->node;
}

void KeyedCalls::on(const WaitForAttempt &output)
{
    if (CallState *state = m_parts.calls.find(output.call)) {
        m_parts.recordDecision(*state, DecisionKind::JoinedRunningAttempt, m_parts.self(), "an attempt of the same request is running");
    }
}

void KeyedCalls::on(const ReplayAnswer &output)
{
    if (CallState *state = m_parts.calls.find(output.call)) {
        m_parts.recordDecision(*state, DecisionKind::ReplayedStoredAnswer, m_parts.self(), "the request has been answered before");
        m_parts.actions.add(RespondStored{.id = output.call, .key = output.key});
        finish(*state);
    }
}

void KeyedCalls::on(const RefuseCall &output)
{
    if (CallState *state = m_parts.calls.find(output.call)) {
        refuse(*state, output.refusal);
    }
}

void KeyedCalls::on(const RedirectCall &output)
{
    CallState *state = m_parts.calls.find(output.call);
    if (state == nullptr) {
        return;
    }
    const Refusal unreachable{.kind = RefusalKind::OutcomeUnknown, .reason = RefusalReason::OwnerUnreachable};
    // The owner asks the node at which the call entered the fleet for other copies of it, so a forwarded call is not forwarded again.
    if (!state->from.empty()) {
        refuse(*state, unreachable);
        return;
    }
    if (m_forwarded.send(*state, output.to, ForwardMode::Own, "another member owns the request key")) {
        refuse(*state, unreachable);
    }
}

void KeyedCalls::on(const SendOwnershipMessage &output)
{
    m_parts.actions.add(SendPeerMessage{.to = output.to, .address = output.peerAddress, .message = output.message});
}

void KeyedCalls::on(const KeepAnswer &output)
{
    m_parts.actions.add(StoreAnswer{.id = output.call, .key = output.key});
}

void KeyedCalls::on(const DropAnswer &output)
{
    m_parts.actions.add(DropStoredAnswer{.key = output.key});
}

void KeyedCalls::on(const WakeOwnership &output)
{
    m_parts.actions.add(ScheduleWake{.at = output.at});
}

void KeyedCalls::on(const OwnershipReleased &)
{
    m_released = true;
}

void KeyedCalls::on(const OwnershipExcluded &)
{
    // The next tick replaces the excluded owner; in a planned stop `isReleased` sees that it is excluded.
}

void KeyedCalls::refuse(CallState &state, const Refusal &refusal)
{
    m_parts.recordDecision(state, DecisionKind::Refused, {}, "the owner of the request key did not run it");
    if (!state.callerGone) {
        m_parts.actions.add(RespondRefused{.id = state.call.id, .refusal = refusal, .load = m_parts.loadReport(state.call.operation)});
    }
    finish(state);
}

void KeyedCalls::finish(CallState &state)
{
    closed(state);
    m_parts.attribution.childEnded(state.call.id, m_parts.clock.now());
    m_parts.calls.remove(state.call.id);
}

} // namespace wisteriafork
