#include "core/relay/routepressure.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

// Weight of one report in the moving average.
constexpr double ReportSampleWeight = 0.2;
// Time without reports after which an average starts to decay, and the time in which it then falls by a factor of e.
constexpr Duration DecayDelay = std::chrono::milliseconds(500);
constexpr Duration DecayTime = std::chrono::milliseconds(1000);

} // namespace

RoutePressure::RoutePressure(const Clock &clock) : m_clock(clock)
{
}

void RoutePressure::recordPressure(const std::string &route, double pressure)
{
    MovingAverage &average = m_averageByRoute[route];
    average.value = decayedValue(average);
    average.value += ReportSampleWeight * (pressure - average.value);
    average.lastUpdate = m_clock.now();
}

double RoutePressure::pressureOf(const std::string &route) const
{
    const auto found = m_averageByRoute.find(route);
    return found == m_averageByRoute.end() ? 0.0 : decayedValue(found->second);
}

double RoutePressure::decayedValue(const MovingAverage &average) const
{
    const Duration decayAge = m_clock.now() - average.lastUpdate - DecayDelay;
    if (average.value <= 0.0 || decayAge <= Duration(0)) {
        return average.value;
    }
    return average.value * std::exp(-static_cast<double>(decayAge.count()) / static_cast<double>(DecayTime.count()));
}

} // namespace wisteriafork
