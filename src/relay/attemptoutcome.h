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
struct ServerAnswer
{
    HttpResponse response;
};

// Why a request did not run on an instance.
enum class NotRunReason : std::uint8_t {
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
struct NotRun
{
    NotRunReason reason = NotRunReason::Unreachable;
};

// No usable answer came; the request may have run.
struct OutcomeUnknown
{
    // The connection to the node of the instance broke, so that nothing is known of the instance itself.
    bool nodeLost = false;
};

// Result of sending a request to one instance.
struct AttemptOutcome
{
    std::variant<ServerAnswer, NotRun, OutcomeUnknown> result;
    std::optional<ServingReport> report;
};

using AttemptHandler = std::function<void(AttemptOutcome)>;

// Short name for logs.
constexpr const char *describeNotRun(NotRunReason reason)
{
    switch (reason) {
    case NotRunReason::Overloaded:
        return "overloaded";
    case NotRunReason::TooLate:
        return "too-late";
    case NotRunReason::RefusedByServer:
        return "refused-by-server";
    case NotRunReason::OtherInstance:
        return "other-instance";
    case NotRunReason::Leaving:
        return "leaving";
    case NotRunReason::SuspectedOfCrash:
        return "suspected-of-crash";
    case NotRunReason::Unreachable:
        break;
    }
    return "unreachable";
}

} // namespace wisteriafork
