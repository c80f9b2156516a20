#include "core/routing/instanceload.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace wisteriafork {

namespace {

// An instance that failed is avoided for this long unless it reports again.
constexpr Duration FailureMemory = std::chrono::seconds(2);
constexpr double FailureCost = 1e3;
// Service time and limit of an instance that has not reported yet.
constexpr double AssumedServiceTime = 0.02;
constexpr double AssumedLimit = 10.0;

} // namespace

InstanceLoad::InstanceLoad(NodeId instanceName, DomainId instanceDomain, Incarnation instanceIncarnation)
    : name(std::move(instanceName)), domain(std::move(instanceDomain)), incarnation(instanceIncarnation)
{
}

void InstanceLoad::sent()
{
    m_inFlight += 1.0;
}

void InstanceLoad::ended()
{
    m_inFlight = std::max(0.0, m_inFlight - 1.0);
}

void InstanceLoad::learn(const LoadReport &report, TimePoint now)
{
    m_report = report;
    m_reported = now;
    m_known = true;
    m_failed = false;
    m_inFlightAtReport = m_inFlight;
}

void InstanceLoad::failed(TimePoint now)
{
    m_failed = true;
    m_failedAt = now;
}

double InstanceLoad::cost(TimePoint now, Duration halfLife) const
{
    const double limit = m_known ? std::max<double>(1.0, m_report.limit) : AssumedLimit;
    const double service
        = m_known && m_report.serviceTime.count() > 0 ? std::chrono::duration<double>(m_report.serviceTime).count() : AssumedServiceTime;
    const double calls = load(now, halfLife);
    const double wait = std::max(0.0, calls + 1.0 - limit) * service / limit;
    const double utilisation = std::min(1.0, calls / limit);
    const double failure = m_failed && now - m_failedAt < FailureMemory ? FailureCost : 0.0;
    // The fourth power keeps the term small until an instance is nearly full.
    return wait + service * std::pow(utilisation, 4) / 2 + utilisation * 1e-3 + failure;
}

double InstanceLoad::expectedTime(TimePoint now, Duration halfLife) const
{
    if (!m_known) {
        return AssumedServiceTime;
    }
    const double limit = std::max<double>(1.0, m_report.limit);
    const double service = std::chrono::duration<double>(m_report.serviceTime).count();
    return service + std::max(0.0, load(now, halfLife) - limit) * service / limit;
}

double InstanceLoad::freshness(TimePoint now, Duration halfLife) const
{
    const double age = std::chrono::duration<double>(now - m_reported).count();
    return std::exp2(-age / std::chrono::duration<double>(halfLife).count());
}

double InstanceLoad::load(TimePoint now, Duration halfLife) const
{
    if (!m_known) {
        return m_inFlight;
    }
    const double reported = m_report.running + m_report.queued;
    const double sentSince = std::max(0.0, m_inFlight - m_inFlightAtReport);
    return std::max(m_inFlight, freshness(now, halfLife) * reported + sentSince);
}

} // namespace wisteriafork
