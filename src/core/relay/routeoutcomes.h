#pragma once

#include "core/base/clock.h"

#include <string>
#include <unordered_map>

namespace wisteriafork {

// What the answers to the requests of each route are like: their times, to tell an answer that is merely slow from one that was lost, and
// the share of failures, to tell a failing instance from a failure behind all of them. Not thread safe.
class RouteOutcomes
{
public:
    void recordSuccess(const std::string &route, Duration time);
    void recordFailure(const std::string &route);
    // Time after which an answer is unusually late; empty duration if too little is known.
    Duration lateResponseThreshold(const std::string &route) const;
    // Share of failures among the last answers, 0 to 1.
    double failureShare(const std::string &route) const;

private:
    struct Estimate
    {
        double mean = 0.0;
        double deviation = 0.0;
        unsigned samples = 0;
        double failures = 0.0;
    };

    std::unordered_map<std::string, Estimate> m_routes;
};

} // namespace wisteriafork
