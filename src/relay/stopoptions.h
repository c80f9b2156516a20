#pragma once

#include <chrono>

namespace wisteriafork {

// Times of a stop in order, counted from the signal to stop.
struct StopOptions
{
    // After this time the process is killed.
    std::chrono::milliseconds gracePeriod{6000};
    // Time for which other nodes still send work: callers are told to stay away by two readiness checks, one a second.
    std::chrono::milliseconds peerAcceptPeriod{2300};
    // Callers that come all the same are refused from here on: half of the usual time to stop, so that what was taken before can end.
    std::chrono::milliseconds callerAcceptPeriod{3000};
};

} // namespace wisteriafork
