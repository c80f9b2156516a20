#pragma once

#include "core/node/attemptobserver.h"
#include "core/node/forwarder.h"
#include "core/node/keyedcalls.h"
#include "core/node/localrunner.h"
#include "core/node/nodeparts.h"

#include <map>

namespace wisteriafork {

// The path of each call through the node: edge checks, placement, retries, the answer. Keyed calls go to `KeyedCalls`.
class CallFlow : private AttemptObserver
{
public:
    explicit CallFlow(NodeParts &parts);

    void on(const CallArrived &event);
    void on(const CallerGone &event);
    void on(const ServerAnswered &event);
    void on(const ServerFailed &event);
    void on(const PeerAnswered &event);
    void on(const PeerRefused &event);
    void on(const PeerFailed &event);
    void tick();

    KeyedCalls &keyedCalls()
    {
        return m_keyed;
    }

private:
    void localAttemptEnded(CallState &state, const AttemptResult &result) override;
    void forwardEnded(CallState &state, const AttemptResult &result) override;

    // Refusal of a call before any placement; empty if it may go on.
    std::optional<Refusal> checkArrival(CallState &state);
    void route(CallState &state);
    // Chooses an instance for an idempotent call and sends it there, or runs it here.
    void placeAnywhere(CallState &state);
    void attemptEnded(CallState &state, const NodeId &node, const AttemptResult &result);
    void retryOrRefuse(CallState &state, const NodeId &node, const Refusal &refusal);
    void relay(CallState &state);
    void refuse(CallState &state, const Refusal &refusal);
    void finish(CallState &state);

    NodeParts &m_parts;
    LocalRunner m_runner;
    Forwarder m_forwarder;
    KeyedCalls m_keyed;
    // Retries that wait for their delay.
    std::multimap<TimePoint, CallId> m_delayed;
};

} // namespace wisteriafork
