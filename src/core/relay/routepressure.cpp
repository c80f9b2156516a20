#include "core/relay/routepressure.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

// Weight of one report.
constexpr double ReportWeight = 0.2;
// Time without reports after which an average starts to fade, and the time in which it then falls by a factor of e.
constexpr Duration FreshTime = std::chrono::milliseconds(500);
constexpr Duration FadeTime = std::chrono::milliseconds(1000);

} // namespace

RoutePressure::RoutePressure(const Clock &clock) : m_clock(clock)
{
}

void RoutePressure::recordPressure(const std::string &route, double pressure)
{
    Average &average = m_routes[route];
    average.value = faded(average);
    average.value += ReportWeight * (pressure - average.value);
    average.updated = m_clock.now();
}

double RoutePressure::pressureOf(const std::string &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? 0.0 : faded(found->second);
}

double RoutePressure::faded(const Average &average) const
{
    const Duration idle = m_clock.now() - average.updated - FreshTime;
    if (average.value <= 0.0 || idle <= Duration(0)) {
        return average.value;
    }
    return average.value * std::exp(-static_cast<double>(idle.count()) / static_cast<double>(FadeTime.count()));
}

} // namespace wisteriafork
