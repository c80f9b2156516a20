#pragma once

#include "core/base/clock.h"

#include <cstdint>

namespace wisteriafork {

// State of an instance and of its queue, attached by the node beside it to each answer and refusal.
struct ServingReport
{
    // Requests that may run at the same time, and requests running and waiting under that limit.
    std::uint32_t concurrencyLimit = 0;
    std::uint32_t runningRequests = 0;
    std::uint32_t queuedRequests = 0;
    // Mean time for which a request occupies a slot.
    Duration holdingTime{0};
    // Share of the requests of callers that should be refused at their entry, 0 to 1: the greatest of this instance and of the services
    // that the answered route calls.
    double pressure = 0.0;
    // Version of the configuration in force at the node.
    std::uint64_t configurationVersion = 0;
    // The node stops and takes no further calls of other nodes.
    bool leaving = false;
};

} // namespace wisteriafork
