#pragma once

#include "core/base/calldescription.h"
#include "core/base/hostlist.h"
#include "core/base/loadreport.h"
#include "core/base/refusal.h"
#include "core/node/forwardmode.h"
#include "core/node/peerfailure.h"
#include "core/node/peermessage.h"
#include "core/node/serverfailure.h"

#include <cstdint>
#include <string>
#include <variant>

namespace wisteriafork {

// A complete request was read from a caller, from the local backend server or from a peer. The transport has assigned `call.id`.
struct CallArrived
{
    CallDescription call;
    // Set if the call came from a peer.
    NodeId from;
    ForwardMode mode = ForwardMode::Serve;
    // Trace id of `traceparent`, empty if none. Attributes calls of the local backend server to the call that it runs.
    std::string traceId;
};

// The caller or the forwarding node gave up on the call.
struct CallerGone
{
    CallId id = 0;
};

// The local backend server gave a whole answer.
struct ServerAnswered
{
    CallId id = 0;
    int status = 0;
    std::uint64_t answerBytes = 0;
};

struct ServerFailed
{
    CallId id = 0;
    ServerFailure failure = ServerFailure::ConnectionBroken;
};

// A peer relayed a whole answer for a forwarded call.
struct PeerAnswered
{
    CallId id = 0;
    NodeId peer;
    int status = 0;
    std::uint64_t answerBytes = 0;
    LoadReport load;
};

struct PeerRefused
{
    CallId id = 0;
    NodeId peer;
    Refusal refusal;
    LoadReport load;
};

struct PeerFailed
{
    CallId id = 0;
    NodeId peer;
    PeerFailure failure = PeerFailure::Broken;
};

struct PeerMessageReceived
{
    NodeId from;
    PeerMessage message;
};

// A control message could not be delivered or its connection was refused or broken.
struct PeerUnreachable
{
    NodeId peer;
};

// The platform's host list was read.
struct HostListRead
{
    HostList list;
};

// A value was read from the configuration service.
struct PlatformValueRead
{
    std::string key;
    std::string value;
};

// The configuration service could not be read.
struct PlatformReadFailed
{
    std::string key;
};

// The load endpoint of the local backend server was read; a hint only.
struct ServerLoadRead
{
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
};

// Sent by the shell at a fixed interval, by default 100 ms.
struct Tick
{
};

// The time asked for with `ScheduleWake` has come: delayed retries are due.
struct Wake
{
};

struct DrainRequested
{
};

struct UndrainRequested
{
};

using Event = std::variant<CallArrived, CallerGone, ServerAnswered, ServerFailed, PeerAnswered, PeerRefused, PeerFailed,
                           PeerMessageReceived, PeerUnreachable, HostListRead, PlatformValueRead, PlatformReadFailed, ServerLoadRead, Tick,
                           Wake, DrainRequested, UndrainRequested>;

} // namespace wisteriafork
