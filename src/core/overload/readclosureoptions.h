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
    // Reads open again this long after the last sign that critical calls are refused.
    Duration hold = std::chrono::seconds(1);
    // Time for which one strict report counts in the node's own reports. Shorter than the hold, because it adds up over the chain.
    Duration reportMemory = std::chrono::milliseconds(300);
    // An edge refuses a critical call only on a report that is not older than this; otherwise the serving node decides.
    Duration freshness = std::chrono::milliseconds(300);

    bool enabled = true;
};

} // namespace wisteriafork
