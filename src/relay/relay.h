#pragma once

#include "net/asio.h"
#include "relay/relaynode.h"

#include <functional>
#include <memory>

namespace wisteriafork {

// A node that relays requests by routes, in a process: listeners, connections and the stop in order around the decisions of `RelayNode`.
// All of it runs on the thread that runs the context.
class Relay
{
public:
    Relay(asio::io_context &context, RelaySettings settings, EventLog &log, RelayNode::Callbacks callbacks);
    ~Relay();

    // Opens the listeners. Throws boost::system::system_error if that fails.
    void start();

    // Takes what the deployment publishes.
    RelayNode &node();
    const RelayNode &node() const;

    // Tells callers to stay away, or to come again, while all requests are served as before.
    void setDraining(bool draining);
    bool isDraining() const;

    // Stops in order: takes no new work, finishes what is under way, then calls the function once.
    void stop(std::function<void()> onStopped);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace wisteriafork
