#pragma once

#include "relay/headernames.h"

namespace wisteriafork {

// Header fields of the project's own interface, see docs/headers.md.
inline HeaderNames ownHeaderNames()
{
    return {.requestId = "wf-request-id",
            .deadline = "wf-deadline-ms",
            .responseOrigin = "",
            .expectedInstance = "wf-expected-instance",
            .callerService = "wf-caller-service",
            .notExecuted = "wf-not-executed",
            .instanceLoad = "wf-instance-load",
            .workspace = "wf-workspace"};
}

} // namespace wisteriafork
