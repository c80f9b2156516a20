#pragma once

#include "fleet/fleet.h"

#include <string>
#include <vector>

namespace wisteriafork::fleet {

// Bounds of the promises that a run of the model is held to. They are those that users state.
struct InvariantLimits
{
    // Time for which a caller may be kept waiting: that of its route, and what a process needs to notice it.
    Duration longestAnswer = std::chrono::milliseconds(1500) + std::chrono::milliseconds(100);
    // Runs that may begin later than this after their caller has left, and how many of them.
    Duration goneTime = std::chrono::milliseconds(500);
    unsigned goneRuns = 3;
    // Most crashes by one request, not counted those within a second after the second one.
    unsigned crashes = 3;
    Duration crashKnown = std::chrono::milliseconds(1000);
    // Repeats of a service in a window of this length, as a share of the first sends of the window and the one before, and beyond.
    Duration budgetWindow = std::chrono::seconds(4);
    double budgetRatio = 0.2;
    unsigned budgetSlackPerNode = 3;
    // Time after the last trouble from which requests are served again, and the share of them.
    Duration recoveryTime = std::chrono::seconds(4);
    double servedAgain = 0.95;
    // Time after which an instance that leaves gets nothing more, once all nodes know it.
    Duration drainTime = std::chrono::milliseconds(1000);
};

// What was wrong in a run; empty if every promise was kept.
std::vector<std::string> checkInvariants(const Fleet &fleet, const InvariantLimits &options = {});

} // namespace wisteriafork::fleet
