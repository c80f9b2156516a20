#pragma once

#include <cstdint>

namespace wisteriafork {

// How an attempt failed, seen from the node that sent it.
enum class AttemptFailure : std::uint8_t {
    // Nothing was sent: no connection. Certainly not run, and nothing below was reached.
    NotSent,
    // The instance refused before it ran the call, for a reason other than load (draining, no owner, server refused the connection).
    RefusedNotRun,
    // The instance, or a service below it, refused for load. Never retried.
    RefusedForLoad,
    // The stream broke or no answer came in time: may have run.
    Unknown,
    // The instance ran the call and reported a failure further below. Retried there or nowhere.
    FailedBelow,
};

} // namespace wisteriafork
