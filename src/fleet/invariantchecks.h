#pragma once

#include "fleet/fleet.h"

#include <string>
#include <vector>

namespace wisteriafork::fleet {

// Limits that the invariant checks apply to a simulation. They are those that users state.
struct InvariantLimits
{
    // Longest wait of a caller: the timeout of its route, and the time that a process needs to notice that it has passed.
    Duration maxResponseTime = std::chrono::milliseconds(1500) + std::chrono::milliseconds(100);
    // At most this many executions may start later than this after their caller has cancelled.
    Duration cancelPropagationTime = std::chrono::milliseconds(500);
    unsigned maxExecutionsAfterCancel = 3;
    // Crashes by one request, not counting those within `crashPropagationTime` after the second one.
    unsigned maxCrashesPerRequest = 3;
    Duration crashPropagationTime = std::chrono::milliseconds(1000);
    // Repeated executions of a service in a window of this length: a share of the first executions in this window or in the one before,
    // whichever is greater, and a number for each node of the fleet.
    Duration retryBudgetWindow = std::chrono::seconds(4);
    double retryBudgetRatio = 0.2;
    unsigned retryBudgetSlackPerNode = 3;
    // Of the requests that start later than this after the last fault, at least this share succeeds.
    Duration recoveryTime = std::chrono::seconds(4);
    double minSuccessShare = 0.95;
    // No execution starts on a draining instance later than this after all nodes know that it is draining.
    Duration drainGracePeriod = std::chrono::milliseconds(1000);
};

// Checks all invariants on the history of a simulation that has run. Returns one text for each violation, so none if all of them hold.
std::vector<std::string> checkInvariants(const Fleet &fleet, const InvariantLimits &options = {});

} // namespace wisteriafork::fleet
