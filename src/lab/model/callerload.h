#pragma once

#include "core/base/clock.h"

#include <cstdint>

namespace wisteriafork::lab {

// Requests that callers begin, per second of virtual time.
struct CallerLoad
{
    double baseRate = 100.0;
    // Rate between start and end of the surge, counted from the start of the run.
    double surgeRate = 100.0;
    Duration surgeStart{0};
    Duration surgeEnd{0};
    // Distinct callers.
    std::uint64_t callers = 2000;
};

} // namespace wisteriafork::lab
