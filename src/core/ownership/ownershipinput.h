#pragma once

#include "core/base/clock.h"
#include "core/base/hostlist.h"
#include "core/base/refusal.h"
#include "core/base/requestkey.h"
#include "core/ownership/ownershipmessage.h"

#include <cstdint>
#include <variant>

namespace wisteriafork {

// A call of a non-idempotent operation of this service arrived, from a caller, the local backend server or a forwarding node.
struct KeyedCall
{
    CallId call = 0;
    RequestKey key;
    Duration retention{0};
    // Local time at which the answer is no longer of use.
    TimePoint deadline;
    // Node at which the call entered the fleet, carried along with the forwarded call; empty if that is this node. Its `OpenCopies` knows
    // when the call arrived.
    NodeId from;
    // Local arrival time as given by `OpenCopies::opened`; used if the call arrived here directly.
    TimePoint arrivedAt;
};

// The caller or the forwarding node gave up on a call. A run that has started goes on.
struct CallWithdrawn
{
    CallId call = 0;
};

// The run of a key finished with a whole answer.
struct ExecutionFinished
{
    RequestKey key;
    CallId call = 0;
    std::uint64_t answerBytes = 0;
};

// The run of a key ended and certainly did not take place: refused by admission, by the backend server before the run, or withdrawn from
// the queue. NodeCore may instead move the run to another instance without telling `Ownership`.
struct ExecutionNotRun
{
    RequestKey key;
    RefusalReason reason = RefusalReason::Overloaded;
    Duration retryAfter{0};
};

// The run of a key was started and its outcome is unknown.
struct ExecutionUnknown
{
    RequestKey key;
    RefusalReason reason = RefusalReason::ServerFailed;
};

// The host list of the own service.
struct ServiceListRead
{
    HostList list;
};

struct OwnershipMessageReceived
{
    NodeId from;
    OwnershipMessage message;
};

struct MemberUnreachable
{
    NodeId member;
};

// Sent at a fixed interval, by default 100 ms.
struct OwnershipTick
{
};

// The time that the last `WakeOwnership` asked for has come. Harmless at any other time.
struct OwnershipWake
{
};

// A planned stop begins.
struct StopRequested
{
};

using OwnershipInput = std::variant<KeyedCall, CallWithdrawn, ExecutionFinished, ExecutionNotRun, ExecutionUnknown, ServiceListRead,
                                    OwnershipMessageReceived, MemberUnreachable, OwnershipTick, OwnershipWake, StopRequested>;

} // namespace wisteriafork
