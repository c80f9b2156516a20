#include "fleet/invariantchecks.h"

#include <algorithm>
#include <map>
#include <set>

namespace wisteriafork::fleet {

namespace {

// Judges one run. Each check adds its findings.
class InvariantChecker
{
public:
    InvariantChecker(const Fleet &fleet, const InvariantLimits &options) : m_fleet(fleet), m_history(fleet.history()), m_options(options)
    {
        for (const Execution &run : m_history.executions) {
            m_runs[run.id].push_back(&run);
        }
        for (const Fault &fault : fleet.faults()) {
            m_faults.insert(fault.kind);
        }
    }

    std::vector<std::string> findings()
    {
        checkAnswers();
        checkRuns();
        checkGone();
        checkCrashes();
        checkBudget();
        checkDrains();
        checkRecovery();
        return std::move(m_findings);
    }

private:
    static std::string rootOf(const std::string &id)
    {
        return id.substr(0, id.find('.'));
    }

    // Instances and times, in milliseconds from the start of the load, of some runs.
    std::string placesOf(const std::vector<const Execution *> &runs) const
    {
        std::string text;
        for (const Execution *run : runs) {
            const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(run->at - m_fleet.loadFrom());
            text += " " + run->instance + " at " + std::to_string(at.count());
        }
        return text;
    }

    bool hasFault(std::initializer_list<FaultKind> kinds) const
    {
        return std::ranges::any_of(kinds, [this](FaultKind kind) { return m_faults.contains(kind); });
    }

    void checkAnswers()
    {
        for (const auto &[id, attempt] : m_history.attempts) {
            if (attempt.answers > 1) {
                m_findings.push_back(id + " was answered " + std::to_string(attempt.answers) + " times");
            }
            if (attempt.answers == 0 && !attempt.left && !attempt.disturbed) {
                m_findings.push_back(id + " was never answered");
            }
            if (attempt.answers == 1 && attempt.status == 200 && attempt.body != "done " + id) {
                m_findings.push_back(id + " got the answer \"" + attempt.body + "\"");
            }
            if (attempt.answers == 1 && attempt.status == 200 && !m_runs.contains(id)) {
                m_findings.push_back(id + " was answered without a run");
            }
            if (attempt.answers == 1 && !attempt.disturbed && attempt.answered - attempt.sent > m_options.longestAnswer) {
                m_findings.push_back(id + " waited longer than its route allows");
            }
        }
    }

    void checkRuns()
    {
        for (const auto &[id, runs] : m_runs) {
            const CallerAttempt &attempt = m_history.attempts.at(rootOf(id));
            if (!attempt.idempotent && runs.size() > 1) {
                m_findings.push_back(id + " is not idempotent and ran on" + placesOf(runs));
            }
            if (attempt.status == 503 && attempt.answers > 0 && !attempt.idempotent && rootOf(id) == id) {
                m_findings.push_back(id + " was refused with 503 and ran on" + placesOf(runs));
            }
            for (const Execution *run : runs) {
                if (run->remaining <= 0 || std::chrono::milliseconds(run->remaining) > m_options.longestAnswer) {
                    m_findings.push_back(id + " was sent with " + std::to_string(run->remaining) + " ms left");
                }
            }
        }
    }

    // What a node cannot learn in time is left out: the caller's node, or the way to the instance, was disturbed.
    void checkGone()
    {
        if (hasFault({FaultKind::KillNode, FaultKind::FreezeNode, FaultKind::IsolateHost, FaultKind::SeparateDomain})) {
            return;
        }
        unsigned late = 0;
        for (const Execution &run : m_history.executions) {
            const CallerAttempt &attempt = m_history.attempts.at(rootOf(run.id));
            late += attempt.left && run.at - attempt.leftAt > m_options.goneTime ? 1 : 0;
        }
        if (late > m_options.goneRuns) {
            m_findings.push_back(std::to_string(late) + " runs began after their caller had left");
        }
    }

    void checkCrashes()
    {
        if (hasFault({FaultKind::KillNode, FaultKind::FreezeNode, FaultKind::IsolateHost, FaultKind::SeparateDomain})) {
            return;
        }
        for (const auto &[target, times] : m_history.crashes) {
            if (countCrashes(times) > m_options.crashes) {
                m_findings.push_back(target + " crashed " + std::to_string(times.size()) + " backend servers");
            }
        }
    }

    // Crashes by one request, without those that began before the second one was known.
    std::size_t countCrashes(const std::vector<TimePoint> &times) const
    {
        if (times.size() < 2) {
            return times.size();
        }
        const TimePoint known = times[1] + m_options.crashKnown;
        return 2 + static_cast<std::size_t>(std::ranges::count_if(times, [known](TimePoint at) { return at > known; }));
    }

    void checkBudget()
    {
        std::map<std::pair<std::string, std::int64_t>, std::pair<unsigned, unsigned>> windows;
        std::set<std::pair<std::string, std::string>> seen;
        for (const Execution &run : m_history.executions) {
            auto &[first, repeats] = windows[{run.service, run.at.time_since_epoch() / m_options.budgetWindow}];
            ++(seen.emplace(run.service, run.id).second ? first : repeats);
        }
        for (const auto &[key, counts] : windows) {
            const auto before = windows.find({key.first, key.second - 1});
            const unsigned sends = std::max(counts.first, before == windows.end() ? 0 : before->second.first);
            const double allowed = m_options.budgetRatio * sends + m_options.budgetSlackPerNode * static_cast<double>(m_fleet.size());
            if (counts.second > allowed) {
                m_findings.push_back(key.first + " got " + std::to_string(counts.second) + " repeats beside " + std::to_string(sends)
                                     + " requests in a window");
            }
        }
    }

    void checkDrains()
    {
        if (hasFault({FaultKind::KillNode, FaultKind::FreezeNode, FaultKind::CutOffFromList})) {
            return;
        }
        for (const Execution &run : m_history.executions) {
            const auto left = m_history.leftList.find(run.instance);
            if (left != m_history.leftList.end() && run.at - left->second > m_options.drainTime) {
                m_findings.push_back(run.id + " was sent to " + run.instance + ", which leaves");
            }
        }
    }

    void checkRecovery()
    {
        unsigned sent = 0;
        unsigned served = 0;
        for (const CallerRequest &request : m_history.requests) {
            if (!request.poisoned && request.begun - m_fleet.calmFrom() > m_options.recoveryTime) {
                ++sent;
                served += request.succeeded ? 1 : 0;
            }
        }
        if (served < m_options.servedAgain * sent) {
            m_findings.push_back("after the troubles " + std::to_string(served) + " of " + std::to_string(sent) + " requests were served");
        }
        for (const std::string &node : m_fleet.busyNodes()) {
            m_findings.push_back("node " + node + " has open requests long after the last one");
        }
        for (const std::string &node : m_fleet.staleNodes()) {
            m_findings.push_back("node " + node + " does not have the newest configuration");
        }
    }

    const Fleet &m_fleet;
    const History &m_history;
    const InvariantLimits m_options;
    std::map<std::string, std::vector<const Execution *>> m_runs;
    std::set<FaultKind> m_faults;
    std::vector<std::string> m_findings;
};

} // namespace

std::vector<std::string> checkInvariants(const Fleet &fleet, const InvariantLimits &options)
{
    return InvariantChecker(fleet, options).findings();
}

} // namespace wisteriafork::fleet
