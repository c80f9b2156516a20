#pragma once

#include "core/base/clock.h"
#include "core/overload/readclosureoptions.h"

#include <chrono>
#include <cstddef>

namespace wisteriafork {

struct EdgeGateOptions
{
    // Time over which levels of the instances of a service are averaged.
    Duration levelMemory = std::chrono::milliseconds(200);
    // The same for levels of services further below, which the instances have averaged already.
    Duration belowMemory = std::chrono::milliseconds(30);
    // Without reports for this long, one call is let through to learn the level again.
    Duration levelHold = std::chrono::milliseconds(500);
    // A level that was not reported for this long is forgotten.
    Duration levelMemoryLimit = std::chrono::seconds(30);
    // Most calls of this node that wait for one service at the same time.
    std::size_t waitingLimit = 1000;
    // Calls that one caller may have in flight through this node at a service under pressure.
    std::size_t callerInFlight = 8;
    // Excess over its weighted share that a tenant may use at a service under pressure.
    double tenantSlack = 1.2;
    // Time over which shares of tenants are counted.
    Duration shareMemory = std::chrono::seconds(1);

    // Refused requests that are remembered, and for how long at least: the time in which most callers send again.
    std::size_t refusedLimit = 20000;
    Duration refusedMemory = std::chrono::seconds(10);

    ReadClosureOptions closure;

    bool resendsEnabled = true;
    bool levelsEnabled = true;
    bool sharesEnabled = true;
    bool isolationEnabled = true;
};

} // namespace wisteriafork
