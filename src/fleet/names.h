#pragma once

#include "relay/headernames.h"

namespace wisteriafork::fleet {

// Header fields on both sides of the modelled nodes.
inline HeaderNames modelHeaderNames()
{
    return {.requestId = "x-id",
            .deadline = "x-deadline",
            .responseOrigin = "x-seal",
            .expectedInstance = "x-expect",
            .callerService = "x-caller",
            .notExecuted = "x-not-executed",
            .instanceLoad = "x-load"};
}

// Paths of the requests of callers. A poisoned one crashes each backend server of the last service that runs it.
constexpr const char *ReadPath = "/read/";
constexpr const char *BookPath = "/book/";
constexpr const char *PoisonPath = "/book/poison-";

} // namespace wisteriafork::fleet
