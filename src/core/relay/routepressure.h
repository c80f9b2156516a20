#pragma once

#include "core/base/clock.h"

#include <string>
#include <unordered_map>

namespace wisteriafork {

// Pressure of each route: the moving average of the pressure reported with the responses to its requests. It decays without new reports, so
// that a route whose requests were all refused is tried again. Not thread safe.
class RoutePressure
{
public:
    explicit RoutePressure(const Clock &clock);

    // Records the pressure, 0 to 1, that came with a response.
    void recordPressure(const std::string &route, double pressure);
    // Current pressure of a route, 0 to 1; 0 for an unknown route.
    double pressureOf(const std::string &route) const;

private:
    struct MovingAverage
    {
        double value = 0.0;
        TimePoint lastUpdate;
    };

    double decayedValue(const MovingAverage &average) const;

    const Clock &m_clock;
    std::unordered_map<std::string, MovingAverage> m_averageByRoute;
};

} // namespace wisteriafork
