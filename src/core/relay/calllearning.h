#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

struct CallLearningOptions
{
    // Completed runs of a route before its calls count as known.
    unsigned enoughRuns = 5;
    // Greatest share of completed runs without a call to a route that a caller of that route may show. Instances make their calls in each
    // run; one run without shows that another route made the calls that were seen.
    double mostRunsWithout = 0.1;
};

// Learns which routes the local backend server calls while it runs requests of a route. Calls carry no sign of the request that they
// belong to, but a route whose runs complete without a call to another one in between does not call it. Not thread safe.
class CallLearning
{
public:
    explicit CallLearning(const CallLearningOptions &options);

    // The local backend server starts to run a request of the route.
    void started(CallId id, const std::string &route);
    // The run ended; only runs that completed count.
    void ended(CallId id, bool completed);
    // The local backend server called a route.
    void called(const std::string &callee);

    // Routes that the local backend server calls for a route, as far as known.
    std::vector<std::string> calleesOf(const std::string &route) const;

private:
    struct Run
    {
        std::string route;
        // Number of calls to each callee when the run began.
        std::vector<std::uint64_t> callsBefore;
    };

    struct Statistics
    {
        double runs = 0.0;
        // Runs without a call, by callee.
        std::vector<double> without;
    };

    std::size_t indexOf(const std::string &callee);

    const CallLearningOptions m_options;
    std::map<std::string, std::size_t> m_indexes;
    std::vector<std::string> m_callees;
    std::vector<std::uint64_t> m_calls;
    std::unordered_map<CallId, Run> m_running;
    std::unordered_map<std::string, Statistics> m_statistics;
};

} // namespace wisteriafork
