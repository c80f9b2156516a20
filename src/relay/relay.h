#pragma once

#include "core/relay/callerlimits.h"
#include "net/asio.h"
#include "relay/relaynode.h"

#include <functional>
#include <memory>

namespace wisteriafork {

// A node in a process of its own: adds listeners, connections, timers and graceful shutdown to the decisions of `RelayNode`. Everything
// runs on the thread that runs the context.
class Relay
{
public:
    Relay(asio::io_context &context, RelaySettings settings, EventLog &log, RelayNode::Callbacks callbacks);
    ~Relay();

    // Opens the listeners. Throws boost::system::system_error if one cannot be opened.
    void start();

    // The node that makes the decisions; pass the configuration and the instances that the deployment publishes to it.
    RelayNode &node();
    const RelayNode &node() const;

    // Sets the bounds of what callers may send. Bodies beyond the bound are refused before they are read.
    void setCallerLimits(const CallerLimits &limits);
    // Makes the readiness check fail while `draining` is set, so that callers go elsewhere. All requests are still served.
    void setDraining(bool draining);
    // True while draining is set, and from the start of a shutdown.
    bool isDraining() const;

    // Shuts down gracefully: accepts no new requests, finishes those in flight, then calls `onStopped` once with the number of requests
    // that were still open at the end of the grace period. Further calls do nothing.
    void stop(std::function<void(std::size_t openRequests)> onStopped);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace wisteriafork
