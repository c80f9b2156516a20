#pragma once

#include <algorithm>
#include <chrono>

namespace wisteriafork {

// Periods of a graceful shutdown, each measured from the signal to stop.
struct StopOptions
{
    // Time after which the process is killed.
    std::chrono::milliseconds gracePeriod{6000};
    // Time for which other nodes may still send requests. Two readiness checks, one a second, fail within it, so that callers stop sending.
    std::chrono::milliseconds peerAcceptPeriod{2300};
    // Time after which requests of callers are refused: half of the usual grace period, so that requests accepted before can finish.
    std::chrono::milliseconds callerAcceptPeriod{3000};

    // Periods that fit into this grace period: shorter than the usual ones if the process is killed earlier than usual.
    static StopOptions within(std::chrono::milliseconds gracePeriod)
    {
        const StopOptions usual;
        const auto shortened = [&](std::chrono::milliseconds period) {
            return std::min(period, period * gracePeriod.count() / usual.gracePeriod.count());
        };
        return {.gracePeriod = gracePeriod,
                .peerAcceptPeriod = shortened(usual.peerAcceptPeriod),
                .callerAcceptPeriod = shortened(usual.callerAcceptPeriod)};
    }
};

} // namespace wisteriafork
