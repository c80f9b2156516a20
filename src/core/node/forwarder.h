#pragma once

#include "core/node/attemptobserver.h"
#include "core/node/event.h"
#include "core/node/nodeparts.h"

namespace wisteriafork {

// Sends calls to other nodes and keeps the knowledge of routing and edge shedding up to date with what comes back.
class Forwarder
{
public:
    Forwarder(NodeParts &parts, AttemptObserver &observer);

    // Sends the call to a node. Returns a refusal, and sends nothing, if too many calls wait for the service already.
    std::optional<Refusal> send(CallState &state, const NodeId &to, ForwardMode mode, std::string reason);
    // Stops a forwarded call. The observer is not told.
    void cancel(CallState &state);

    void on(const PeerAnswered &event);
    void on(const PeerRefused &event);
    void on(const PeerFailed &event);

private:
    // The forwarded call that an event is about; null if it is over.
    CallState *findForwarded(CallId id, const NodeId &peer);
    void learn(CallState &state, const LoadReport &load, bool answered);
    void endWaiting(CallState &state);

    NodeParts &m_parts;
    AttemptObserver &m_observer;
};

} // namespace wisteriafork
