#include "daemon/callstatistics.h"

#include "core/config/routes.h"

namespace wisteriafork {

namespace {

OutcomeKey keyOf(const Route &route, std::string_view workspace)
{
    return {.service = parseRouteName(route.name).service,
            .callClass = classOfPriority(route.priority),
            .workspace = WorkspaceId(std::string(workspace))};
}

} // namespace

CallStatistics::CallStatistics(const Clock &clock) : m_outcomes(clock), m_load(clock)
{
}

void CallStatistics::onRequestArrived(const Route &route)
{
    const RouteOperation named = parseRouteName(route.name);
    m_load.recordArrival(named.service, named.operation);
}

void CallStatistics::onRequestAnswered(const Route &route, std::string_view workspace, Duration time)
{
    m_outcomes.recordCompletion(keyOf(route, workspace), time);
}

void CallStatistics::onRequestRefused(const Route &route, std::string_view workspace, RefusalReason reason)
{
    m_outcomes.recordRefusal(keyOf(route, workspace), reason);
}

void CallStatistics::onRequestFailed(const Route &route, std::string_view workspace)
{
    m_outcomes.recordFailure(keyOf(route, workspace));
}

void CallStatistics::onLocalRunSucceeded(std::string_view routeName, Duration time)
{
    const RouteOperation named = parseRouteName(routeName);
    m_load.recordServiceTime(named.service, named.operation, time);
}

} // namespace wisteriafork
