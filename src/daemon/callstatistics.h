#pragma once

#include "core/base/calldescription.h"
#include "core/base/refusal.h"
#include "observability/metrics.h"
#include "observability/outcomes.h"
#include "observability/recentload.h"

namespace wisteriafork {

// Counts what becomes of the calls that enter the fleet at this node. Calls of peers are counted where they entered. Thread safe.
class CallStatistics
{
public:
    explicit CallStatistics(const Clock &clock);

    void arrived(const CallDescription &call);
    void completed(const CallDescription &call, Duration time, bool replayed);
    void refused(const CallDescription &call, const Refusal &refusal);
    // The caller left without an answer.
    void abandoned(const CallDescription &call);
    // The local backend server answered a call of any origin.
    void served(const CallDescription &call, Duration time);
    void duplicateSuppressed(const CallDescription &call);
    void retried(const ServiceId &service);

    Metrics &metrics()
    {
        return m_metrics;
    }

    OutcomesReport outcomes() const
    {
        return m_outcomes.report();
    }

    std::vector<OperationLoad> recentLoad() const
    {
        return m_recentLoad.load();
    }

private:
    Outcomes m_outcomes;
    RecentLoad m_recentLoad;
    Metrics m_metrics;
};

} // namespace wisteriafork
