#pragma once

#include "relay/headernames.h"

namespace wisteriafork::fleet {

// Names of the header fields that the simulated nodes exchange with callers and backend servers.
inline HeaderNames simulatedHeaderNames()
{
    return {.requestId = "x-id",
            .deadline = "x-deadline",
            .responseOrigin = "x-seal",
            .expectedInstance = "x-expect",
            .callerService = "x-caller",
            .notExecuted = "x-not-executed",
            .instanceLoad = "x-load"};
}

// Prefixes of the targets of callers' requests. A request for `CrashingPath` crashes each backend server of the last service that executes
// it.
constexpr const char *ReadPath = "/read/";
constexpr const char *BookPath = "/book/";
constexpr const char *CrashingPath = "/book/poison-";

} // namespace wisteriafork::fleet
