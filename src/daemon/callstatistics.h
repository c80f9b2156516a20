#pragma once

#include "core/base/clock.h"
#include "observability/outcomes.h"
#include "observability/recentload.h"
#include "relay/relayobserver.h"

namespace wisteriafork {

// Counts the outcomes of caller requests by service, call class and workspace, and the recent load by operation.
class CallStatistics : public RelayObserver
{
public:
    explicit CallStatistics(const Clock &clock);

    void onRequestArrived(const Route &route) override;
    void onRequestAnswered(const Route &route, std::string_view workspace, Duration time) override;
    void onRequestRefused(const Route &route, std::string_view workspace, RefusalReason reason) override;
    void onRequestFailed(const Route &route, std::string_view workspace) override;
    void onLocalExecutionSucceeded(std::string_view routeName, Duration time) override;

    // Outcomes by service, call class and workspace since the node started.
    OutcomesReport outcomes() const
    {
        return m_outcomes.report();
    }

    // Load of each operation over the last minute.
    std::vector<OperationLoad> recentLoad() const
    {
        return m_recentLoad.operationLoads();
    }

private:
    Outcomes m_outcomes;
    RecentLoad m_recentLoad;
};

} // namespace wisteriafork
