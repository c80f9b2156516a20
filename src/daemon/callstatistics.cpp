#include "daemon/callstatistics.h"

#include "core/base/refusalname.h"
#include "core/config/callclassname.h"

namespace wisteriafork {

namespace {

OutcomeKey keyOf(const CallDescription &call)
{
    return {.service = call.service, .callClass = call.callClass, .tenant = call.tenant};
}

} // namespace

CallStatistics::CallStatistics(const Clock &clock) : m_outcomes(clock), m_recentLoad(clock)
{
}

void CallStatistics::arrived(const CallDescription &call)
{
    m_recentLoad.arrived(call.service, call.operation);
}

void CallStatistics::completed(const CallDescription &call, Duration time, bool replayed)
{
    m_outcomes.completed(keyOf(call), time, replayed);
    m_metrics.add(Metric::Calls, {call.service.value(), callClassName(call.callClass), replayed ? "replayed" : "completed"});
    m_metrics.observe(Metric::CallSeconds, time, {call.service.value(), callClassName(call.callClass)});
}

void CallStatistics::refused(const CallDescription &call, const Refusal &refusal)
{
    m_outcomes.refused(keyOf(call), refusal);
    m_metrics.add(Metric::Calls, {call.service.value(), callClassName(call.callClass), "refused"});
    m_metrics.add(Metric::Refusals,
                  {call.service.value(), callClassName(call.callClass), refusalKindName(refusal.kind), refusalReasonName(refusal.reason)});
}

void CallStatistics::abandoned(const CallDescription &call)
{
    m_outcomes.failed(keyOf(call));
    m_metrics.add(Metric::Calls, {call.service.value(), callClassName(call.callClass), "failed"});
}

void CallStatistics::served(const CallDescription &call, Duration time)
{
    m_recentLoad.served(call.service, call.operation, time);
}

void CallStatistics::duplicateSuppressed(const CallDescription &call)
{
    m_outcomes.duplicateSuppressed(keyOf(call));
    m_metrics.add(Metric::DuplicatesSuppressed, {call.service.value()});
}

void CallStatistics::retried(const ServiceId &service)
{
    m_metrics.add(Metric::Retries, {service.value()});
}

} // namespace wisteriafork
