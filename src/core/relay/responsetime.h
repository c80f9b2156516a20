#pragma once

#include "core/base/clock.h"

#include <string>
#include <unordered_map>

namespace wisteriafork {

// Mean and deviation of the answer times of each route, to tell an answer that is merely slow from one that was lost. Not thread safe.
class ResponseTime
{
public:
    void sample(const std::string &route, Duration time);
    // Time after which an answer is unusually late; empty duration if too little is known.
    Duration unusual(const std::string &route) const;

private:
    struct Estimate
    {
        double mean = 0.0;
        double deviation = 0.0;
        unsigned samples = 0;
    };

    std::unordered_map<std::string, Estimate> m_routes;
};

} // namespace wisteriafork
