#pragma once

#include "core/base/clock.h"
#include "core/relay/servingreport.h"
#include "net/httpmessage.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <variant>

namespace wisteriafork {

// The backend server answered, with success or failure.
struct ServerResponse
{
    HttpResponse response;
};

// Why a request did not run on an instance.
enum class NotExecutedReason : std::uint8_t {
    // The queue of the instance is longer than is useful for the request.
    Overloaded,
    // The time that is left is too short.
    TooLate,
    // The backend server itself refused the request.
    RefusedByServer,
    // Another instance has the address.
    OtherInstance,
    // The node stops.
    Leaving,
    // A request like it was in flight when two backend servers crashed.
    SuspectedOfCrash,
    // The node or the backend server could not be reached; nothing was sent.
    Unreachable,
};

// The request has certainly not run on the instance and never will.
struct NotExecuted
{
    NotExecutedReason reason = NotExecutedReason::Unreachable;
};

// No usable answer came; the request may have run.
struct OutcomeUnknown
{
    // The connection to the node of the instance broke, so that nothing is known of the instance itself.
    bool nodeConnectionLost = false;
};

// Result of sending a request to one instance.
struct AttemptOutcome
{
    std::variant<ServerResponse, NotExecuted, OutcomeUnknown> result;
    std::optional<ServingReport> report;
};

using AttemptHandler = std::function<void(AttemptOutcome)>;

// Short name for logs.
constexpr const char *notExecutedReasonName(NotExecutedReason reason)
{
    switch (reason) {
    case NotExecutedReason::Overloaded:
        return "overloaded";
    case NotExecutedReason::TooLate:
        return "too-late";
    case NotExecutedReason::RefusedByServer:
        return "refused-by-server";
    case NotExecutedReason::OtherInstance:
        return "other-instance";
    case NotExecutedReason::Leaving:
        return "leaving";
    case NotExecutedReason::SuspectedOfCrash:
        return "suspected-of-crash";
    case NotExecutedReason::Unreachable:
        break;
    }
    return "unreachable";
}

} // namespace wisteriafork
