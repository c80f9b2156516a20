#include "fleet/invariantchecks.h"

#include <algorithm>
#include <map>
#include <set>

namespace wisteriafork::fleet {

namespace {

// Runs the checks on one simulation. Each check adds its violations to the findings.
class InvariantChecker
{
public:
    InvariantChecker(const Fleet &fleet, const InvariantLimits &limits) : m_fleet(fleet), m_history(fleet.history()), m_limits(limits)
    {
        for (const Execution &execution : m_history.executions) {
            m_executions[execution.id].push_back(&execution);
        }
        for (const Fault &fault : fleet.faults()) {
            m_faultKinds.insert(fault.kind);
        }
    }

    std::vector<std::string> runChecks()
    {
        checkResponses();
        checkExecutions();
        checkCancelledAttempts();
        checkCrashes();
        checkRetryBudget();
        checkDraining();
        checkRecovery();
        return std::move(m_findings);
    }

private:
    // Id of the caller's attempt that caused this request. Backend servers append ".1" to an id for their own call.
    static std::string attemptIdOf(const std::string &id)
    {
        return id.substr(0, id.find('.'));
    }

    // Instance and start time of each execution, in milliseconds from the start of the load.
    std::string describeExecutions(const std::vector<const Execution *> &executions) const
    {
        std::string text;
        for (const Execution *execution : executions) {
            const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(execution->startedAt - m_fleet.loadStart());
            text += " " + execution->instance + " at " + std::to_string(at.count());
        }
        return text;
    }

    bool hasFault(std::initializer_list<FaultKind> kinds) const
    {
        return std::ranges::any_of(kinds, [this](FaultKind kind) { return m_faultKinds.contains(kind); });
    }

    void checkResponses()
    {
        for (const auto &[id, attempt] : m_history.attempts) {
            if (attempt.responses > 1) {
                m_findings.push_back(id + " was answered " + std::to_string(attempt.responses) + " times");
            }
            if (attempt.responses == 0 && !attempt.cancelled && !attempt.entryNodeFailed) {
                m_findings.push_back(id + " was never answered");
            }
            if (attempt.responses == 1 && attempt.status == 200 && attempt.body != "done " + id) {
                m_findings.push_back(id + " got the response \"" + attempt.body + "\"");
            }
            if (attempt.responses == 1 && attempt.status == 200 && !m_executions.contains(id)) {
                m_findings.push_back(id + " got status 200 without being executed");
            }
            if (attempt.responses == 1 && !attempt.entryNodeFailed && attempt.respondedAt - attempt.sentAt > m_limits.maxResponseTime) {
                m_findings.push_back(id + " waited longer than its route allows");
            }
        }
    }

    void checkExecutions()
    {
        for (const auto &[id, executions] : m_executions) {
            const CallerAttempt &attempt = m_history.attempts.at(attemptIdOf(id));
            if (!attempt.idempotent && executions.size() > 1) {
                m_findings.push_back(id + " is not idempotent and was executed on" + describeExecutions(executions));
            }
            if (attempt.status == 503 && attempt.responses > 0 && !attempt.idempotent && attemptIdOf(id) == id) {
                m_findings.push_back(id + " was refused with 503 and was executed on" + describeExecutions(executions));
            }
            for (const Execution *execution : executions) {
                if (execution->remainingMs <= 0 || std::chrono::milliseconds(execution->remainingMs) > m_limits.maxResponseTime) {
                    m_findings.push_back(id + " was sent with " + std::to_string(execution->remainingMs) + " ms left");
                }
            }
        }
    }

    // Skipped after faults that delay cancellations: those of the caller's node, or of the network between it and the instance.
    void checkCancelledAttempts()
    {
        if (hasFault({FaultKind::KillNode, FaultKind::FreezeNode, FaultKind::IsolateHost, FaultKind::SeparateDomain})) {
            return;
        }
        unsigned late = 0;
        for (const Execution &execution : m_history.executions) {
            const CallerAttempt &attempt = m_history.attempts.at(attemptIdOf(execution.id));
            late += attempt.cancelled && execution.startedAt - attempt.cancelledAt > m_limits.cancelPropagationTime ? 1 : 0;
        }
        if (late > m_limits.maxExecutionsAfterCancel) {
            m_findings.push_back(std::to_string(late) + " executions started after their caller had cancelled");
        }
    }

    // Skipped after faults that delay the news of a crash.
    void checkCrashes()
    {
        if (hasFault({FaultKind::KillNode, FaultKind::FreezeNode, FaultKind::IsolateHost, FaultKind::SeparateDomain})) {
            return;
        }
        for (const auto &[target, times] : m_history.crashes) {
            if (countCrashes(times) > m_limits.maxCrashesPerRequest) {
                m_findings.push_back(target + " crashed " + std::to_string(times.size()) + " backend servers");
            }
        }
    }

    // Number of crashes by one request, without those after the second one that came before all nodes could know of it.
    std::size_t countCrashes(const std::vector<TimePoint> &times) const
    {
        if (times.size() < 2) {
            return times.size();
        }
        const TimePoint knownAt = times[1] + m_limits.crashPropagationTime;
        return 2 + static_cast<std::size_t>(std::ranges::count_if(times, [knownAt](TimePoint crash) { return crash > knownAt; }));
    }

    // Counts first and repeated executions of each service by time window. A request is repeated if the service has executed its id before.
    void checkRetryBudget()
    {
        std::map<std::pair<std::string, std::int64_t>, std::pair<unsigned, unsigned>> windows;
        std::set<std::pair<std::string, std::string>> seen;
        for (const Execution &execution : m_history.executions) {
            auto &[firstCount, repeatCount]
                = windows[{execution.service, execution.startedAt.time_since_epoch() / m_limits.retryBudgetWindow}];
            ++(seen.emplace(execution.service, execution.id).second ? firstCount : repeatCount);
        }
        for (const auto &[key, counts] : windows) {
            const auto previous = windows.find({key.first, key.second - 1});
            const unsigned firstExecutions = std::max(counts.first, previous == windows.end() ? 0 : previous->second.first);
            const double allowed
                = m_limits.retryBudgetRatio * firstExecutions + m_limits.retryBudgetSlackPerNode * static_cast<double>(m_fleet.hostCount());
            if (counts.second > allowed) {
                m_findings.push_back(key.first + " got " + std::to_string(counts.second) + " repeated executions for "
                                     + std::to_string(firstExecutions) + " requests in a window");
            }
        }
    }

    // Skipped after faults that delay a node in learning of the drain.
    void checkDraining()
    {
        if (hasFault({FaultKind::KillNode, FaultKind::FreezeNode, FaultKind::CutOffFromList})) {
            return;
        }
        for (const Execution &execution : m_history.executions) {
            const auto drain = m_history.drainKnownAt.find(execution.instance);
            if (drain != m_history.drainKnownAt.end() && execution.startedAt - drain->second > m_limits.drainGracePeriod) {
                m_findings.push_back(execution.id + " was sent to " + execution.instance + ", which was draining");
            }
        }
    }

    void checkRecovery()
    {
        unsigned sent = 0;
        unsigned succeeded = 0;
        for (const CallerRequest &request : m_history.requests) {
            if (!request.crashesServers && request.startedAt - m_fleet.recoveryStart() > m_limits.recoveryTime) {
                ++sent;
                succeeded += request.succeeded ? 1 : 0;
            }
        }
        if (succeeded < m_limits.minSuccessShare * sent) {
            m_findings.push_back("after the faults " + std::to_string(succeeded) + " of " + std::to_string(sent) + " requests succeeded");
        }
        for (const std::string &node : m_fleet.nodesWithOpenRequests()) {
            m_findings.push_back("node " + node + " has open requests long after the load ended");
        }
        for (const std::string &node : m_fleet.nodesWithOldConfiguration()) {
            m_findings.push_back("node " + node + " does not have the newest configuration");
        }
    }

    const Fleet &m_fleet;
    const History &m_history;
    const InvariantLimits m_limits;
    std::map<std::string, std::vector<const Execution *>> m_executions;
    std::set<FaultKind> m_faultKinds;
    std::vector<std::string> m_findings;
};

} // namespace

std::vector<std::string> checkInvariants(const Fleet &fleet, const InvariantLimits &limits)
{
    return InvariantChecker(fleet, limits).runChecks();
}

} // namespace wisteriafork::fleet
