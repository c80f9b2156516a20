#pragma once

#include "relay/headernames.h"

namespace wisteriafork {

// Names of the header fields of wisteriafork's own HTTP interface, described in docs/headers.md. A platform adapter has other names.
inline HeaderNames defaultHeaderNames()
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
