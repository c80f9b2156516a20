#include "core/relay/routeoutcomes.h"

#include "core/base/durationseconds.h"

#include <cmath>

namespace wisteriafork {

namespace {

// Weights of one sample, and the distance from the mean in deviations, as in the retransmission timer of TCP (RFC 6298).
constexpr double MeanWeight = 0.125;
constexpr double DeviationWeight = 0.25;
constexpr double Deviations = 4.0;
// Weight of one answer in the share of failures.
constexpr double FailureWeight = 0.1;
// Samples before the estimate is used.
constexpr unsigned EnoughSamples = 10;
// Least time, so that a pause of a process does not count as a lost answer.
constexpr double LeastSeconds = 0.15;

} // namespace

void RouteOutcomes::recordSuccess(const std::string &route, Duration time)
{
    Estimate &estimate = m_routes[route];
    estimate.failures -= FailureWeight * estimate.failures;
    const double seconds = toSeconds(time);
    if (estimate.samples++ == 0) {
        estimate.mean = seconds;
        estimate.deviation = seconds / 2;
        return;
    }
    estimate.deviation += DeviationWeight * (std::abs(seconds - estimate.mean) - estimate.deviation);
    estimate.mean += MeanWeight * (seconds - estimate.mean);
}

void RouteOutcomes::recordFailure(const std::string &route)
{
    Estimate &estimate = m_routes[route];
    estimate.failures += FailureWeight * (1.0 - estimate.failures);
}

double RouteOutcomes::failureShare(const std::string &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? 0.0 : found->second.failures;
}

Duration RouteOutcomes::lateResponseThreshold(const std::string &route) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || found->second.samples < EnoughSamples) {
        return Duration(0);
    }
    const double seconds = std::max(LeastSeconds, found->second.mean + Deviations * found->second.deviation);
    return fromSeconds(seconds);
}

} // namespace wisteriafork
