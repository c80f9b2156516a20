#pragma once

#include "core/base/calldescription.h"
#include "core/node/forwardmode.h"
#include "core/routing/attemptbudget.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

// Where a call stands in this node.
enum class CallStage : std::uint8_t {
    // Being decided on, or waiting for the delay before a retry.
    Placing,
    // Waiting for a slot of the local backend server.
    Queued,
    // Waiting because another request that may crash backend servers is running.
    HeldAsSuspect,
    // The owner of the key decides: waiting for a claim or for the running attempt.
    WaitingForOwner,
    RunningLocally,
    Forwarded,
};

// A call that this node has not finished with.
struct CallState
{
    CallDescription call;
    // Forwarding node; empty if the call did not come from a peer.
    NodeId from;
    ForwardMode mode = ForwardMode::Serve;
    // Trace id of `traceparent`, empty if none.
    std::string traceId;
    CallStage stage = CallStage::Placing;
    // Node to which the call is forwarded at present, and the mode of the forward.
    NodeId target;
    ForwardMode forwardMode = ForwardMode::Serve;
    // Nodes that have been tried and failed, and the failure domain of the last of them.
    std::vector<NodeId> tried;
    DomainId failedDomain;
    AttemptBudget budget;
    unsigned retriesMade = 0;
    // An earlier attempt may have run, so the call can no longer be refused as not run.
    bool mayHaveRun = false;
    TimePoint sentAt;
    // The local owner has the key on record and runs it for this call.
    bool ownedRun = false;
    // The caller is gone, but the run of an owned key goes on.
    bool callerGone = false;
};

} // namespace wisteriafork
