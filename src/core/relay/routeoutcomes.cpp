#include "core/relay/routeoutcomes.h"

#include "core/base/durationseconds.h"

#include <cmath>

namespace wisteriafork {

namespace {

// Weights of one response time in the estimates of the mean and of the deviation, and the distance of the threshold from the mean in
// deviations, as in the retransmission timer of TCP (RFC 6298).
constexpr double MeanSampleWeight = 0.125;
constexpr double DeviationSampleWeight = 0.25;
constexpr double ThresholdDeviations = 4.0;
// Weight of one request in the moving average of the failure share.
constexpr double FailureSampleWeight = 0.1;
// Response times needed before the threshold is used.
constexpr unsigned MinimumSamples = 10;
// Lower bound of the threshold, so that a short pause of a process does not count as a lost response.
constexpr double MinimumThresholdSeconds = 0.15;

} // namespace

void RouteOutcomes::recordSuccess(const std::string &route, Duration time)
{
    Statistics &statistics = m_statisticsByRoute[route];
    statistics.failureShare -= FailureSampleWeight * statistics.failureShare;
    const double seconds = toSeconds(time);
    if (statistics.sampleCount++ == 0) {
        statistics.meanSeconds = seconds;
        statistics.deviationSeconds = seconds / 2;
        return;
    }
    statistics.deviationSeconds += DeviationSampleWeight * (std::abs(seconds - statistics.meanSeconds) - statistics.deviationSeconds);
    statistics.meanSeconds += MeanSampleWeight * (seconds - statistics.meanSeconds);
}

void RouteOutcomes::recordFailure(const std::string &route)
{
    Statistics &statistics = m_statisticsByRoute[route];
    statistics.failureShare += FailureSampleWeight * (1.0 - statistics.failureShare);
}

double RouteOutcomes::failureShare(const std::string &route) const
{
    const auto found = m_statisticsByRoute.find(route);
    return found == m_statisticsByRoute.end() ? 0.0 : found->second.failureShare;
}

Duration RouteOutcomes::lateResponseThreshold(const std::string &route) const
{
    const auto found = m_statisticsByRoute.find(route);
    if (found == m_statisticsByRoute.end() || found->second.sampleCount < MinimumSamples) {
        return Duration(0);
    }
    const double seconds
        = std::max(MinimumThresholdSeconds, found->second.meanSeconds + ThresholdDeviations * found->second.deviationSeconds);
    return fromSeconds(seconds);
}

} // namespace wisteriafork
