#include "core/relay/calllearning.h"

namespace wisteriafork {

namespace {

// Runs after which older ones lose weight, so that a route that changes its calls is learnt anew.
constexpr double RememberedRuns = 200.0;

} // namespace

CallLearning::CallLearning(const CallLearningOptions &options) : m_options(options)
{
}

void CallLearning::started(CallId id, const std::string &route)
{
    m_running.emplace(id, Run{.route = route, .callsBefore = m_calls});
}

void CallLearning::ended(CallId id, bool completed)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    if (completed) {
        const Run &run = found->second;
        Statistics &statistics = m_statistics[run.route];
        const double keep = statistics.runs >= RememberedRuns ? 1.0 - 1.0 / RememberedRuns : 1.0;
        // A callee that was not known in earlier runs was not called in them.
        statistics.without.resize(m_calls.size(), statistics.runs);
        statistics.runs = keep * statistics.runs + 1.0;
        for (std::size_t index = 0; index < m_calls.size(); ++index) {
            const std::uint64_t before = index < run.callsBefore.size() ? run.callsBefore[index] : 0;
            statistics.without[index] = keep * statistics.without[index] + (m_calls[index] == before ? 1.0 : 0.0);
        }
    }
    m_running.erase(found);
}

void CallLearning::called(const std::string &callee)
{
    ++m_calls[indexOf(callee)];
}

std::vector<std::string> CallLearning::calleesOf(const std::string &route) const
{
    std::vector<std::string> callees;
    const auto found = m_statistics.find(route);
    if (found == m_statistics.end() || found->second.runs < m_options.enoughRuns) {
        return callees;
    }
    for (std::size_t index = 0; index < found->second.without.size(); ++index) {
        if (found->second.without[index] <= m_options.mostRunsWithout * found->second.runs) {
            callees.push_back(m_callees[index]);
        }
    }
    return callees;
}

std::size_t CallLearning::indexOf(const std::string &callee)
{
    const auto [found, added] = m_indexes.emplace(callee, m_callees.size());
    if (added) {
        m_callees.push_back(callee);
        m_calls.push_back(0);
    }
    return found->second;
}

} // namespace wisteriafork
