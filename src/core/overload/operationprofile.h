#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <cstddef>
#include <vector>

namespace wisteriafork {

// What an admission controller keeps about one operation of its service.
struct OperationProfile
{
    OperationId id;
    // Indexes of the services that the operation calls.
    std::vector<std::size_t> dependencies;
    // Mean time that a call holds a slot, in seconds, with the time spent waiting for calls below; 0 until known.
    double holdingTime = 0.0;
    TimePoint lastSample;
    TimePoint lastOffered;
    std::size_t running = 0;
};

} // namespace wisteriafork
