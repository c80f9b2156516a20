#pragma once

#include "core/base/clock.h"

#include <chrono>

namespace wisteriafork {

struct ConcurrencyLimitOptions
{
    // Calls that may work in a server that starts cold, as a share of its slots. Those that wait for calls below do not load it.
    double coldShare = 0.125;
    // Growth of the latency over its floor that counts as queueing inside the backend server.
    double tolerance = 1.5;
    // Shortest interval between two changes of the limit, and fewest finished calls in it.
    Duration window = std::chrono::milliseconds(100);
    unsigned windowCalls = 8;
    // Factor of a decrease.
    double decrease = 0.9;
    // Time after which a latency floor that has not been seen again is given up.
    Duration floorMemory = std::chrono::seconds(10);

    // If off, the limit is always the number of slots.
    bool adaptive = true;
    bool slowStart = true;
    // If off, a server that has become much faster gets its slots back in small steps.
    bool fastRegrowth = true;
    // If off, the load endpoint is believed without a check.
    bool hintChecked = true;
};

} // namespace wisteriafork
