#pragma once

#include "core/base/callclass.h"
#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/base/requestkey.h"

#include <cstdint>
#include <string>

namespace wisteriafork {

// Where a call entered the node.
enum class CallOrigin : std::uint8_t {
    Caller, // a caller outside the fleet
    LocalService, // the backend server on this host
    Peer, // another node
};

// What the decisions need to know of a call. Bodies stay with the transport and are found by call id.
struct CallDescription
{
    CallId id = 0;
    CallOrigin origin = CallOrigin::Caller;
    // Identifies the caller's request over its whole chain, for logs.
    std::string requestId;
    ServiceId service;
    OperationId operation;
    CallClass callClass = CallClass::Read;
    // True for calls made on behalf of an admitted request.
    bool internal = false;
    bool idempotent = true;
    TenantId tenant;
    // Hash of the caller's identity, for fairness.
    std::uint64_t callerHash = 0;
    // Hash fixed for the caller's request over its whole chain, for consistent admission.
    std::uint64_t requestHash = 0;
    // Identity of the request across resends; set for non-idempotent operations.
    RequestKey key;
    // Recognises requests that crash backend servers.
    RequestKey fingerprint;
    // Local time at which the answer is no longer of use.
    TimePoint deadline;
    // Attempts on backend servers that are left for this call and everything below it.
    std::uint32_t attemptsLeft = 0;
};

} // namespace wisteriafork
