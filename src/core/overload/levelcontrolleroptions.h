#pragma once

#include "core/base/clock.h"

#include <chrono>

namespace wisteriafork {

struct LevelControllerOptions
{
    // Interval between two changes of the level.
    Duration window = std::chrono::milliseconds(50);
    // Queueing delay that is kept while the service is overloaded, so that it never runs dry.
    Duration targetDelay = std::chrono::milliseconds(50);
    // Time in which a deviation of the queue from its target is corrected.
    Duration correctionTime = std::chrono::milliseconds(1000);
    // Assumed time from a change of the level to its effect on arrivals, over the whole chain.
    Duration feedbackDelay = std::chrono::milliseconds(300);
    // Largest growth of the admitted rate in one window, with and without calls that wait.
    double rise = 1.02;
    double riseWhenIdle = 1.05;
    // Time in which the level opens completely if no call arrives.
    Duration idleRecovery = std::chrono::seconds(5);
};

} // namespace wisteriafork
