#pragma once

#include "core/base/clock.h"

#include <string>
#include <unordered_map>

namespace wisteriafork {

// Statistics of the outcomes of each route: response times, to distinguish a slow response from a lost one, and the share of failures, to
// distinguish a failing instance from a failure of the services behind all instances. Not thread safe.
class RouteOutcomes
{
public:
    // Records a successful request and its response time.
    void recordSuccess(const std::string &route, Duration time);
    // Records a failed request.
    void recordFailure(const std::string &route);
    // Response time above which a response is unusually late and may be lost; zero if there are too few samples.
    Duration lateResponseThreshold(const std::string &route) const;
    // Recent share of failed requests of the route, 0 to 1.
    double failureShare(const std::string &route) const;

private:
    struct Statistics
    {
        double meanSeconds = 0.0;
        double deviationSeconds = 0.0;
        unsigned sampleCount = 0;
        double failureShare = 0.0;
    };

    std::unordered_map<std::string, Statistics> m_statisticsByRoute;
};

} // namespace wisteriafork
