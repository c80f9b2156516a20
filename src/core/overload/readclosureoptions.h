#pragma once

#include "core/base/clock.h"

#include <chrono>

namespace wisteriafork {

// Times that keep the order of shedding over all instances and edges of a service, which learn of a level one after another.
struct ReadClosureOptions
{
    // Critical calls are refused for load only when reads have been closed for this long: the time in which the level reaches all instances
    // and edges, and the reads that they have let through run.
    Duration grace = std::chrono::seconds(1);
    // An instance opens reads again this long after it last refused a critical call.
    Duration hold = std::chrono::seconds(1);
    // A node opens reads again this long after the last report that they are closed.
    Duration reportHold = std::chrono::milliseconds(500);
    // Time for which one strict report counts in the node's own reports. Shorter than the hold, because it adds up over the chain.
    Duration reportMemory = std::chrono::milliseconds(300);
    // An edge refuses a critical call only on a report that is not older than this; otherwise the serving node decides.
    Duration freshness = std::chrono::milliseconds(300);

    // After a closure the level opens by one class in this time, from the first read that arrives. An idle instance would otherwise report
    // a level that is fully open, and all edges would let in their waiting resends at once.
    Duration rampTime = std::chrono::seconds(2);

    bool enabled = true;
    bool rampEnabled = true;
};

} // namespace wisteriafork
