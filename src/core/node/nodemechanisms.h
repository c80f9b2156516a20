#pragma once

namespace wisteriafork {

// Mechanisms of the node's core that tests switch off one at a time, to show that the check which covers each can fail. Production code
// leaves all of them on.
struct NodeMechanisms
{
    // An answer counts only for a call that waits for the peer that sent it.
    bool matchAnswers = true;
    // A leaving instance gets no new work from other nodes, and takes none.
    bool avoidLeaving = true;
    // A planned stop waits for the calls in flight.
    bool drainWaitsForCalls = true;
};

} // namespace wisteriafork
