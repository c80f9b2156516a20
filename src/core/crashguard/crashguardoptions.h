#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <chrono>
#include <cstddef>

namespace wisteriafork {

struct CrashGuardOptions
{
    NodeId self;
    Incarnation incarnation = 0;
    // Connections that break within this time of each other broke together.
    Duration crashWindow{std::chrono::milliseconds(100)};
    // Time after which a suspect that has neither completed nor crashed again is cleared.
    Duration suspectTime{std::chrono::minutes(10)};
    // Time for which a fingerprint is refused after its second crash.
    Duration banTime{std::chrono::hours(24)};
    // Bound on suspects; the oldest are dropped first, banned ones last.
    std::size_t maximumSuspects = 10'000;
};

} // namespace wisteriafork
