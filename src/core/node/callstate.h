#pragma once

#include "core/base/calldescription.h"
#include "core/node/forwardmode.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

// Where a call stands in this node.
enum class CallStage : std::uint8_t {
    // Waiting for a slot of the local backend server.
    Queued,
    // Waiting for the running attempt of the same request key, or for a claim.
    WaitingForOwner,
    RunningLocally,
    Forwarded,
};

// A call that this node has not answered yet.
struct CallState
{
    CallDescription call;
    // Forwarding node; empty if the call did not come from a peer.
    NodeId from;
    ForwardMode mode = ForwardMode::Serve;
    CallStage stage = CallStage::Queued;
    // Node to which the call is forwarded at present.
    NodeId target;
    // Nodes that have been tried and failed.
    std::vector<NodeId> tried;
    TimePoint arrived;
    TimePoint started;
};

} // namespace wisteriafork
