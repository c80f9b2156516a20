#pragma once

#include "core/base/clock.h"

#include <chrono>

namespace wisteriafork {

struct RouterOptions
{
    // Half-life of a load report.
    Duration knowledgeHalfLife = std::chrono::milliseconds(200);
    // Extra time of a call to another failure domain until it is measured, both ways.
    Duration assumedDomainCost = std::chrono::milliseconds(10);
    // Weight of the measured extra time: links between failure domains also cost more and lose packets.
    double domainCostFactor = 1.5;

    // If off, one instance is drawn at random.
    bool powerOfTwo = true;
    bool sameDomainFirst = true;
};

} // namespace wisteriafork
