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
    // Time after a break in which a refused connection confirms that the backend server crashed.
    Duration confirmTime{std::chrono::seconds(1)};
    // Time after which a suspect that has neither completed nor crashed again is cleared.
    Duration suspectTime{std::chrono::minutes(10)};
    // Time for which a fingerprint is refused after its second crash. Longer than old clients resend.
    Duration banTime{std::chrono::hours(1)};
    // A change is reported at once and then, in case a message was lost, this often at this interval.
    unsigned reportRepeats = 3;
    Duration reportInterval{std::chrono::milliseconds(200)};
    // Bound on suspects; the oldest are dropped first, banned ones last.
    std::size_t maximumSuspects = 10'000;
    // Test switch: off lets several suspects run on a backend server at the same time.
    bool suspectsRunAlone = true;
};

} // namespace wisteriafork
