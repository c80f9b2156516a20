#include "daemon/administration.h"

#include "core/ownership/ownership.h"

#include <utility>

namespace wisteriafork {

namespace {

const char *stateName(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspected:
        return "suspected";
    case MemberState::Gone:
        break;
    }
    return "gone";
}

} // namespace

Administration::Administration(const Settings &settings, NodeShell &shell, std::function<void()> startDrain, std::function<void()> endDrain)
    : m_settings(settings), m_shell(shell), m_startDrain(std::move(startDrain)), m_endDrain(std::move(endDrain))
{
}

NodeStatus Administration::status() const
{
    NodeStatus status;
    status.programVersion = WISTERIAFORK_VERSION;
    status.uptime = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - m_started);
    status.drained = m_shell.isDrained();
    status.callsInFlight = m_shell.openCallCount();
    m_shell.core().inspect([&](const NodeCore &core) {
        status.self = core.self();
        status.draining = core.isDraining();
        status.configurationVersion = core.configuration() == nullptr ? 0 : core.configuration()->version;
        for (const HeldBackValue &value : core.distributionStatus().heldBack) {
            status.heldBack.insert(status.heldBack.end(), value.findings.begin(), value.findings.end());
        }
        status.joined = core.ownership() != nullptr && core.ownership()->stage() == OwnerStage::Joined;
    });
    return status;
}

OutcomesReport Administration::outcomes() const
{
    return m_shell.statistics().outcomes();
}

std::vector<MemberStatus> Administration::members() const
{
    std::vector<MemberStatus> members;
    m_shell.core().inspect([&](const NodeCore &core) {
        for (const auto &[info, state] : core.members()) {
            members.push_back({.info = info, .state = stateName(state)});
        }
    });
    return members;
}

std::optional<Configuration> Administration::configuration() const
{
    std::optional<Configuration> configuration;
    m_shell.core().inspect([&](const NodeCore &core) {
        if (core.configuration() != nullptr) {
            configuration = *core.configuration();
        }
    });
    return configuration;
}

std::vector<OperationLoad> Administration::recentLoad() const
{
    return m_shell.statistics().recentLoad();
}

std::string Administration::metricsText() const
{
    Metrics &metrics = m_shell.statistics().metrics();
    std::map<MemberState, std::size_t> members{
        {MemberState::Live, 0}, {MemberState::Leaving, 0}, {MemberState::Suspected, 0}, {MemberState::Gone, 0}};
    m_shell.core().inspect([&](NodeCore &core) {
        const LoadReport load = core.loadReport();
        metrics.set(Metric::ConcurrencyLimit, load.limit);
        metrics.set(Metric::Running, load.running);
        metrics.set(Metric::Queued, load.queued);
        metrics.set(Metric::ConfigurationVersion,
                    core.configuration() == nullptr ? 0.0 : static_cast<double>(core.configuration()->version));
        metrics.set(Metric::ConfigurationHeldBack, core.distributionStatus().heldBack.empty() ? 0 : 1);
        metrics.set(Metric::Draining, core.isDraining() ? 1 : 0);
        if (const Ownership *ownership = core.ownership()) {
            metrics.set(Metric::OwnershipRecords, static_cast<double>(ownership->recordCount() + ownership->witnessRecordCount()));
        }
        for (const auto &[info, state] : core.members()) {
            ++members[state];
        }
    });
    for (const auto &[state, count] : members) {
        metrics.set(Metric::Members, static_cast<double>(count), {stateName(state)});
    }
    return metrics.expose();
}

void Administration::drain()
{
    m_startDrain();
}

void Administration::undrain()
{
    m_endDrain();
}

} // namespace wisteriafork
