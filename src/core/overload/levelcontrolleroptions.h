#pragma once

#include "core/base/clock.h"

#include <chrono>

namespace wisteriafork {

struct LevelControllerOptions
{
    // Interval between two changes of the level.
    Duration window = std::chrono::milliseconds(50);
    // Queueing delay that is kept while the service is overloaded, so that it never runs dry.
    Duration targetDelay = std::chrono::milliseconds(100);
    // Time in which a deviation of the queue from its target is corrected.
    Duration correctionTime = std::chrono::milliseconds(2000);
    // Assumed time from a change of the level to its effect on arrivals, over the whole chain.
    Duration feedbackDelay = std::chrono::milliseconds(300);
    // Growth of the admitted rate in one window. It grows by a factor with each feedback delay in which the queue stays short, and is
    // halved when the queue passes its target: opening by one step of the cut can let in many resent requests at once.
    double firstRise = 0.003;
    double riseGrowth = 1.25;
    double largestRise = 0.05;
    // Share of the capacity up to which the level opens for bulk calls and resends: they are to add no queueing for others.
    double bulkUtilisation = 0.8;
    // Above this ratio of the capacity to the admitted rate, the growth is at least the gain times the excess.
    double idleRatio = 1.3;
    double idleGain = 0.06;
    // Time after an opening in which a growing queue is taken for its effect.
    Duration settleTime = std::chrono::milliseconds(1000);
    // Time over which the rate of fresh calls is averaged. The level recovers while that rate is below the capacity.
    Duration freshMemory = std::chrono::milliseconds(500);
    // Share of its distance to the level that the edges apply by which a level moves there in the settle time.
    double spreadGain = 0.5;
    // Share of the capacity that is used while recovering: resends of refused requests are let in only up to it, so that they add no
    // queueing for fresh calls.
    double recoveryUtilisation = 0.8;
    // Speed at which the level opens at most during an overload, in units of the scale per second. It bounds what is let in while the end
    // of the overload is not recognised yet.
    double holdSpeed = 20.0;
    // Speed at which the level opens while recovering, in units of the scale per second: the first one, its bounds, and its relative change
    // per second and unit of unused or exceeded utilisation. After 10 s of a surge of three times the capacity, a unit holds resends worth
    // 0.08 s of the capacity. With a gain of 8 the level swings where callers take 1 s to send again. The largest speed bounds what comes
    // in before the server feels it: after a service has been slow, a unit of reads holds resends worth 0.02 s of the capacity.
    double firstSpeed = 2.0;
    double leastSpeed = 0.5;
    double largestSpeed = 30.0;
    double speedGain = 4.0;
    // The admitted rate aimed at never falls below this share of the capacity, however long the queue is: otherwise the server would run
    // dry after the queue has drained, for as long as the level takes to open again.
    double leastShare = 0.85;
    // Critical calls are cut only when they alone wait for longer than this.
    Duration criticalDelay = std::chrono::seconds(1);
    // Time in which the level opens completely if no call arrives.
    Duration idleRecovery = std::chrono::seconds(5);
};

} // namespace wisteriafork
