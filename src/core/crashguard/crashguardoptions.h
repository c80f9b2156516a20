#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <chrono>
#include <cstddef>

namespace wisteriafork {

struct CrashGuardOptions
{
    // Name and incarnation of the own node. The ids of crashes are derived from them.
    NodeId self;
    Incarnation incarnation = 0;
    // Maximum time between the first and the last of several broken connections that count as one crash.
    Duration crashWindow{std::chrono::milliseconds(100)};
    // Time after a broken connection within which a refused connection confirms a crash.
    Duration confirmationTime{std::chrono::seconds(1)};
    // Time after which a suspect is dropped if it neither completes nor is in flight at another crash.
    Duration suspicionLifetime{std::chrono::minutes(10)};
    // Time for which a fingerprint is refused after its last crash if no trial clears it. It is longer than older clients keep resending a
    // request.
    Duration banLifetime{std::chrono::hours(1)};
    // Time after the second crash from which a banned fingerprint may be tried once on one backend server, and the factor by which it grows
    // with each further crash. A harmless request that was in flight at two crashes is thus served again.
    Duration firstTrialDelay{std::chrono::seconds(10)};
    double trialDelayFactor = 4.0;
    // Number and interval of the repeated reports of a change, in case a message is lost. The first report is sent at once.
    unsigned reportRepeats = 3;
    Duration reportInterval{std::chrono::milliseconds(200)};
    // Maximum number of known fingerprints. The oldest are dropped first, banned ones last.
    std::size_t maximumSuspects = 10'000;
    // Whether a backend server runs at most one suspect at a time. False only in tests.
    bool suspectsRunAlone = true;
};

} // namespace wisteriafork
