#include "core/node/nodecore.h"

#include "core/node/callstate.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace wisteriafork {

class NodeCore::Private
{
public:
    Private(NodeOptions options, const Clock &clock)
        : m_options(std::move(options)), m_clock(clock), m_random(m_options.seed), m_configuration(m_options.initialConfiguration)
    {
    }

    std::vector<Action> takeActions()
    {
        return std::exchange(m_actions, {});
    }

    void on(const CallArrived &event)
    {
        if (m_draining && event.call.origin == CallOrigin::Caller) {
            refuse(event.call.id, {.kind = RefusalKind::NotRun, .reason = RefusalReason::Draining});
            return;
        }
        CallState state{.call = event.call, .from = event.from, .mode = event.mode};
        state.arrived = m_clock.now();
        CallState &call = m_calls.insert_or_assign(event.call.id, std::move(state)).first->second;
        place(call);
    }

    void on(const CallerGone &event)
    {
        const auto found = m_calls.find(event.id);
        if (found == m_calls.end()) {
            return;
        }
        if (found->second.stage == CallStage::RunningLocally) {
            emit(CancelLocal{.id = event.id});
        } else if (found->second.stage == CallStage::Forwarded) {
            emit(CancelForward{.id = event.id});
        }
        m_calls.erase(found);
        completeDrain();
    }

    void on(const ServerAnswered &event)
    {
        relay(event.id);
    }

    void on(const ServerFailed &event)
    {
        const auto found = m_calls.find(event.id);
        if (found == m_calls.end()) {
            return;
        }
        const bool notRun = event.failure == ServerFailure::ConnectionRefused || event.failure == ServerFailure::Overloaded;
        const RefusalReason reason = event.failure == ServerFailure::Overloaded ? RefusalReason::Overloaded : RefusalReason::ServerFailed;
        finishRefused(found->second, {.kind = notRun ? RefusalKind::NotRun : RefusalKind::OutcomeUnknown, .reason = reason});
    }

    void on(const PeerAnswered &event)
    {
        relay(event.id);
    }

    void on(const PeerRefused &event)
    {
        const auto found = m_calls.find(event.id);
        if (found == m_calls.end()) {
            return;
        }
        retryOrRefuse(found->second, event.refusal);
    }

    void on(const PeerFailed &event)
    {
        const auto found = m_calls.find(event.id);
        if (found == m_calls.end()) {
            return;
        }
        const RefusalKind kind = event.failure == PeerFailure::NotSent ? RefusalKind::NotRun : RefusalKind::OutcomeUnknown;
        retryOrRefuse(found->second, {.kind = kind, .reason = RefusalReason::ServerFailed});
    }

    void on(const PeerMessageReceived &)
    {
    }

    void on(const PeerUnreachable &)
    {
    }

    void on(const HostListRead &event)
    {
        HostList &known = m_hostLists[event.list.service];
        if (event.list.version > known.version) {
            known = event.list;
        }
    }

    void on(const PlatformValueRead &)
    {
    }

    void on(const PlatformReadFailed &)
    {
    }

    void on(const ServerLoadRead &)
    {
    }

    void on(const Tick &)
    {
    }

    void on(const DrainRequested &)
    {
        m_draining = true;
        completeDrain();
    }

    void on(const UndrainRequested &)
    {
        m_draining = false;
    }

    const Configuration *configuration() const
    {
        return m_configuration ? &*m_configuration : nullptr;
    }

private:
    template <typename T>
    void emit(T action)
    {
        m_actions.emplace_back(std::move(action));
    }

    void record(const CallState &state, DecisionKind kind, const NodeId &node, std::string reason)
    {
        emit(RecordDecision{
            .decision
            = {.kind = kind, .requestId = state.call.requestId, .service = state.call.service, .node = node, .reason = std::move(reason)}});
    }

    void refuse(CallId id, const Refusal &refusal)
    {
        emit(RespondRefused{.id = id, .refusal = refusal, .load = {}});
    }

    void finishRefused(const CallState &state, const Refusal &refusal)
    {
        const CallId id = state.call.id;
        record(state, DecisionKind::Refused, {}, "no further attempt is allowed");
        refuse(id, refusal);
        m_calls.erase(id);
        completeDrain();
    }

    void relay(CallId id)
    {
        const auto found = m_calls.find(id);
        if (found == m_calls.end()) {
            return;
        }
        emit(RelayAnswer{.id = id, .load = {}});
        m_calls.erase(found);
        completeDrain();
    }

    void place(CallState &state)
    {
        if (state.call.service == m_options.self.service && state.tried.empty()) {
            runLocally(state);
            return;
        }
        const MemberInfo *target = choose(state);
        if (target == nullptr) {
            finishRefused(state, {.kind = RefusalKind::NotRun, .reason = RefusalReason::NoInstance});
            return;
        }
        state.stage = CallStage::Forwarded;
        state.target = target->name;
        record(state, DecisionKind::Forwarded, target->name, "listed as live");
        emit(ForwardCall{.id = state.call.id,
                         .to = target->name,
                         .mode = ForwardMode::Serve,
                         .remaining = state.call.deadline - m_clock.now(),
                         .attemptsLeft = state.call.attemptsLeft});
    }

    void runLocally(CallState &state)
    {
        state.stage = CallStage::RunningLocally;
        state.started = m_clock.now();
        record(state, DecisionKind::RunLocally, m_options.self.name, "served by this instance");
        emit(RunLocal{.id = state.call.id, .remaining = state.call.deadline - m_clock.now(), .attemptsLeft = state.call.attemptsLeft});
    }

    const MemberInfo *choose(const CallState &state)
    {
        const auto list = m_hostLists.find(state.call.service);
        if (list == m_hostLists.end()) {
            return nullptr;
        }
        std::vector<const MemberInfo *> candidates;
        for (const MemberInfo &member : list->second.members) {
            const bool tried = std::ranges::find(state.tried, member.name) != state.tried.end();
            if (member.state == ListedState::Live && !tried) {
                candidates.push_back(&member);
            }
        }
        if (candidates.empty()) {
            return nullptr;
        }
        return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)];
    }

    void retryOrRefuse(CallState &state, const Refusal &refusal)
    {
        const bool mayRepeat = state.call.idempotent || refusal.kind == RefusalKind::NotRun;
        const bool worthwhile = refusal.reason != RefusalReason::Overloaded && m_clock.now() < state.call.deadline;
        if (!mayRepeat || !worthwhile || state.call.attemptsLeft <= 1) {
            finishRefused(state, refusal);
            return;
        }
        --state.call.attemptsLeft;
        state.tried.push_back(state.target);
        place(state);
    }

    void completeDrain()
    {
        if (m_draining && m_calls.empty()) {
            emit(DrainComplete{});
        }
    }

    NodeOptions m_options;
    const Clock &m_clock;
    RandomEngine m_random;
    std::optional<Configuration> m_configuration;
    std::unordered_map<CallId, CallState> m_calls;
    std::map<ServiceId, HostList> m_hostLists;
    std::vector<Action> m_actions;
    bool m_draining = false;
};

NodeCore::NodeCore(NodeOptions options, const Clock &clock) : d(std::make_unique<Private>(std::move(options), clock))
{
}

NodeCore::~NodeCore() = default;

std::vector<Action> NodeCore::handle(const Event &event)
{
    std::visit([this](const auto &concrete) { d->on(concrete); }, event);
    return d->takeActions();
}

const Configuration *NodeCore::configuration() const
{
    return d->configuration();
}

} // namespace wisteriafork
