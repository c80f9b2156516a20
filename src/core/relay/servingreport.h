#pragma once

#include "core/base/clock.h"

#include <cstdint>

namespace wisteriafork {

// Load of an instance and of its queue. The node beside the instance attaches it to each response and refusal.
struct ServingReport
{
    // Maximum number of requests that run at the same time, and the numbers of requests that run and wait.
    std::uint32_t concurrencyLimit = 0;
    std::uint32_t runningRequests = 0;
    std::uint32_t queuedRequests = 0;
    // Mean time for which a request occupies a slot; zero if unknown.
    Duration holdingTime{0};
    // Share of caller requests that should be refused at the entry, 0 to 1: the maximum over this instance and the routes that the answered
    // route calls.
    double pressure = 0.0;
    // Version of the configuration in force at the node.
    std::uint64_t configurationVersion = 0;
    // Time that work takes on the host of the instance at this moment, in percent of the usual time; 0 if the backend server does not tell.
    std::uint32_t slowdownPercent = 0;
    // The node shuts down and accepts no further calls of other nodes.
    bool leaving = false;
};

} // namespace wisteriafork
