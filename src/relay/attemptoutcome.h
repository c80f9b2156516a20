#pragma once

#include "core/base/clock.h"
#include "core/relay/servingreport.h"
#include "net/httpmessage.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <variant>

namespace wisteriafork {

// The backend server sent a complete response, successful or not.
struct ServerResponse
{
    HttpResponse response;
};

// Why an instance did not execute a request.
enum class NotExecutedReason : std::uint8_t {
    // The request would wait too long in the queue of the instance, or must not run beside another one that is suspected of a crash.
    Overloaded,
    // The instance cannot respond before the deadline of the request.
    TooLate,
    // The backend server itself reported that it did not execute the request.
    RefusedByServer,
    // The address now belongs to another instance (status 421).
    OtherInstance,
    // The instance is draining.
    Leaving,
    // A request with the same fingerprint was in flight when two backend servers crashed.
    SuspectedOfCrash,
    // The node or the backend server could not be reached, so the request was not processed.
    Unreachable,
    // The node that sent the request has withdrawn it, because its process ends, before it was sent to the backend server.
    Withdrawn,
};

// What proves that a request was not executed and will not be executed later.
enum class NotExecutedEvidence : std::uint8_t {
    // The node beside the instance decided before it had sent the request to the backend server.
    NodeDecision,
    // This node had no connection to the node beside the instance, so the request was not sent.
    NodeNotConnected,
    // The node beside the instance refused the stream of the request before it had read all of it.
    StreamRefused,
    // The node beside the instance had no connection to the backend server, so the request was not sent.
    ServerNotConnected,
    // The backend server marked its response to this request with the field for requests that it did not execute.
    ServerField,
    // The backend server responded to this request that it is another instance (status 421).
    ServerMisdirected,
};

// The instance did not execute the request and is guaranteed not to execute it later.
struct NotExecuted
{
    NotExecutedReason reason = NotExecutedReason::Unreachable;
    NotExecutedEvidence evidence = NotExecutedEvidence::NodeDecision;
};

// No usable response arrived; the instance may have executed the request.
struct OutcomeUnknown
{
    // The exchange with the node beside the instance failed, which says nothing about the instance itself.
    bool nodeConnectionLost = false;
};

// Result of sending a request to one instance. `report` is the state of the instance as its node sees it; empty if none arrived.
struct AttemptOutcome
{
    std::variant<ServerResponse, NotExecuted, OutcomeUnknown> result;
    std::optional<ServingReport> report;
};

using AttemptHandler = std::function<void(AttemptOutcome)>;

// Name of the reason in log lines.
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
    case NotExecutedReason::Withdrawn:
        return "withdrawn";
    case NotExecutedReason::Unreachable:
        break;
    }
    return "unreachable";
}

// Name of the evidence in log lines.
constexpr const char *notExecutedEvidenceName(NotExecutedEvidence evidence)
{
    switch (evidence) {
    case NotExecutedEvidence::NodeDecision:
        return "node-decision";
    case NotExecutedEvidence::NodeNotConnected:
        return "node-not-connected";
    case NotExecutedEvidence::StreamRefused:
        return "stream-refused";
    case NotExecutedEvidence::ServerNotConnected:
        return "server-not-connected";
    case NotExecutedEvidence::ServerField:
        return "server-field";
    case NotExecutedEvidence::ServerMisdirected:
        break;
    }
    return "server-misdirected";
}

} // namespace wisteriafork
