#pragma once

#include "core/base/calldescription.h"
#include "core/base/loadreport.h"
#include "core/base/refusal.h"
#include "core/node/decision.h"
#include "core/node/forwardmode.h"
#include "core/node/notice.h"
#include "core/node/peermessage.h"

#include <string>
#include <variant>

namespace wisteriafork {

// Send the call to the local backend server.
struct RunLocal
{
    CallId id = 0;
    Duration remaining{0};
    // Attempts that the calls below may spend together; sent as `Wf-Attempts-Left`.
    std::uint32_t attemptsLeft = 0;
};

// Send the call to a peer.
struct ForwardCall
{
    CallId id = 0;
    // Description to send. It differs from the one that arrived where the call inherited class, tenant or request hash from its parent.
    CallDescription call;
    NodeId to;
    // Address of the receiver's peer listener, "127.0.0.1:7101".
    std::string address;
    ForwardMode mode = ForwardMode::Serve;
    Duration remaining{0};
    std::uint32_t attemptsLeft = 0;
};

struct RespondRefused
{
    CallId id = 0;
    Refusal refusal;
    // Attached when the call came from a peer.
    LoadReport load;
};

// Pass the whole answer that arrived for this call to whoever sent the call.
struct RelayAnswer
{
    CallId id = 0;
    // Attached when the call came from a peer.
    LoadReport load;
};

// Keep a copy of the answer that arrived for this call, for resends of the request.
struct StoreAnswer
{
    CallId id = 0;
    RequestKey key;
};

// Answer the call with the stored answer of the key, marked as replayed.
struct RespondStored
{
    CallId id = 0;
    RequestKey key;
};

struct DropStoredAnswer
{
    RequestKey key;
};

struct CancelLocal
{
    CallId id = 0;
};

struct CancelForward
{
    CallId id = 0;
};

struct SendPeerMessage
{
    NodeId to;
    // Address of the receiver's peer listener, "127.0.0.1:7101".
    std::string address;
    PeerMessage message;
};

// Read a key of the configuration service once.
struct ReadPlatformValue
{
    std::string key;
};

// Keep a waiting watch on a key of the configuration service, which begins with a read.
struct StartWatch
{
    std::string key;
};

struct StopWatch
{
    std::string key;
};

// Write one log line for a routing, placement or admission decision.
struct RecordDecision
{
    Decision decision;
};

// Write one log line for operators.
struct RecordNotice
{
    Notice notice;
};

// Send a `Wake` at the given time.
struct ScheduleWake
{
    TimePoint at;
};

// Nothing is in flight any more and all records are handed over; the process may exit.
struct DrainComplete
{
};

using Action = std::variant<RunLocal, ForwardCall, RespondRefused, RelayAnswer, StoreAnswer, RespondStored, DropStoredAnswer, CancelLocal,
                            CancelForward, SendPeerMessage, ReadPlatformValue, StartWatch, StopWatch, RecordDecision, RecordNotice,
                            ScheduleWake, DrainComplete>;

} // namespace wisteriafork
