#pragma once

#include "core/base/clock.h"

#include <chrono>
#include <cstdint>

namespace wisteriafork {

struct RetryOptions
{
    // Attempts of a caller's request on one path of services: the first one and the retries of the whole chain.
    std::uint32_t attemptsPerRequest = 4;
    // Retries in proportion to fresh calls of this node, and most retries saved up.
    double ratio = 0.1;
    double burst = 10.0;
    // Delay before a retry: random between zero and the bound, which doubles with each try of the call.
    Duration firstDelay = std::chrono::milliseconds(5);
    Duration longestDelay = std::chrono::milliseconds(100);

    // If off, each hop retries up to `attemptsPerRequest` times, as baselines do.
    bool budgetEnabled = true;
    bool ratioEnabled = true;
    // If off, refusals for overload and failures below are retried as well.
    bool onlyNextToFailure = true;
};

} // namespace wisteriafork
