#pragma once

#include "core/base/clock.h"

#include <string>
#include <unordered_map>

namespace wisteriafork {

// Pressure that the answers to requests of each route reported, averaged over the instances that gave them. Old reports fade, so that a
// route whose requests are all refused is tried again. Not thread safe.
class RoutePressure
{
public:
    explicit RoutePressure(const Clock &clock);

    void recordPressure(const std::string &route, double pressure);
    // 0 to 1.
    double pressureOf(const std::string &route) const;

private:
    struct Average
    {
        double value = 0.0;
        TimePoint updated;
    };

    double faded(const Average &average) const;

    const Clock &m_clock;
    std::unordered_map<std::string, Average> m_routes;
};

} // namespace wisteriafork
