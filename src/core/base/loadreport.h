#pragma once

#include "core/base/callclass.h"
#include "core/base/clock.h"

#include <cstdint>

namespace wisteriafork {

// Which calls a service admits: every call of a higher class than `callClass`, and of that class those whose request hash, reduced to
// 0..255, is below `cut`. {Bulk, 256} admits everything; {Critical, 0} admits nothing.
struct AdmissionLevel
{
    CallClass callClass = CallClass::Bulk;
    std::uint16_t cut = 256;

    friend bool operator==(const AdmissionLevel &, const AdmissionLevel &) = default;
};

// Load of an instance, attached to each of its answers.
struct LoadReport
{
    // Concurrency limit in force and calls running and queued under it.
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    // Recent mean time of a call in the backend server.
    Duration serviceTime{0};
    // Level of this instance, and the strictest level of the services below it.
    AdmissionLevel level;
    AdmissionLevel levelBelow;
    bool leaving = false;

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

} // namespace wisteriafork
