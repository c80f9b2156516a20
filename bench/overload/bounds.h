#pragma once

#include "overload/scenario.h"

#include <string>
#include <vector>

namespace wisteriafork::bench {

// Comparison of one figure with its bound from the design's section 1.8.
struct BoundCheck
{
    std::string what;
    double measured = 0.0;
    double bound = 0.0;
    bool passed = false;
};

// All bounds that apply to a run of today's policy. The goodput bound applies to surges.
std::vector<BoundCheck> checkBounds(const Scenario &scenario, const ScenarioResult &result);

} // namespace wisteriafork::bench
