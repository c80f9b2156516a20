#include "daemon/callstatistics.h"

#include "core/config/routes.h"

namespace wisteriafork {

namespace {

OutcomeKey outcomeKey(const Route &route, std::string_view workspace)
{
    return {.service = parseRouteName(route.name).service,
            .callClass = classOfPriority(route.priority),
            .workspace = WorkspaceId(std::string(workspace))};
}

} // namespace

CallStatistics::CallStatistics(const Clock &clock) : m_outcomes(clock), m_recentLoad(clock)
{
}

void CallStatistics::onRequestArrived(const Route &route)
{
    const RouteOperation routeOperation = parseRouteName(route.name);
    m_recentLoad.recordArrival(routeOperation.service, routeOperation.operation);
}

void CallStatistics::onRequestAnswered(const Route &route, std::string_view workspace, Duration time)
{
    m_outcomes.recordCompletion(outcomeKey(route, workspace), time);
}

void CallStatistics::onRequestRefused(const Route &route, std::string_view workspace, RefusalReason reason)
{
    m_outcomes.recordRefusal(outcomeKey(route, workspace), reason);
}

void CallStatistics::onRequestFailed(const Route &route, std::string_view workspace)
{
    m_outcomes.recordFailure(outcomeKey(route, workspace));
}

void CallStatistics::onLocalExecutionSucceeded(std::string_view routeName, Duration time)
{
    const RouteOperation routeOperation = parseRouteName(routeName);
    m_recentLoad.recordServiceTime(routeOperation.service, routeOperation.operation, time);
}

} // namespace wisteriafork
