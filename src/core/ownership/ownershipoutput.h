#pragma once

#include "core/base/clock.h"
#include "core/base/refusal.h"
#include "core/base/requestkey.h"
#include "core/ownership/ownershipmessage.h"

#include <string>
#include <variant>
#include <vector>

namespace wisteriafork {

// Run the key now, for this call. Exactly one of `ExecutionFinished`, `ExecutionNotRun` and `ExecutionUnknown` must follow.
struct RunKey
{
    CallId call = 0;
    RequestKey key;
};

// The call waits for the attempt of the key that is running; a later output decides it.
struct WaitForAttempt
{
    CallId call = 0;
    RequestKey key;
};

// Answer the call with the stored answer of the key.
struct ReplayAnswer
{
    CallId call = 0;
    RequestKey key;
};

struct RefuseCall
{
    CallId call = 0;
    RequestKey key;
    Refusal refusal;
};

// Forward the call to this member of the service, which decides for the key. A call that a peer forwarded is answered with the refusal
// `OwnerUnreachable` after two redirects.
struct RedirectCall
{
    CallId call = 0;
    RequestKey key;
    NodeId to;
    std::string peerAddress;
};

struct SendOwnershipMessage
{
    NodeId to;
    std::string peerAddress;
    OwnershipMessage message;
};

// Keep a copy of the answer that arrived for the call.
struct KeepAnswer
{
    CallId call = 0;
    RequestKey key;
};

struct DropAnswer
{
    RequestKey key;
};

// Give the input `OwnershipWake` at this local time.
struct WakeOwnership
{
    TimePoint at;
};

// A planned stop is complete: nothing runs and every member has the records.
struct OwnershipReleased
{
};

// Another member has fenced this incarnation. It stays an owner of nothing; the process goes on with a new `Ownership` of a later
// incarnation.
struct OwnershipExcluded
{
};

using OwnershipOutput = std::variant<RunKey, WaitForAttempt, ReplayAnswer, RefuseCall, RedirectCall, SendOwnershipMessage, KeepAnswer,
                                     DropAnswer, WakeOwnership, OwnershipReleased, OwnershipExcluded>;
using OwnershipOutputs = std::vector<OwnershipOutput>;

} // namespace wisteriafork
