#pragma once

#include "core/relay/instance.h"
#include "core/relay/routetable.h"
#include "net/asio.h"
#include "relay/relaysettings.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wisteriafork {

class EventLog;

// A node that relays requests by routes: listeners, decisions and the stop in order. What the deployment publishes is passed in with the
// functions below. All of it runs on the thread that runs the context.
class Relay
{
public:
    Relay(asio::io_context &context, RelaySettings settings, EventLog &log);
    ~Relay();

    // Opens the listeners. Throws boost::system::system_error if that fails.
    void start();

    // A configuration is to be in force from now on. Older versions than the one in force are ignored.
    void applyRoutes(RouteTable table);
    std::uint64_t configurationVersion() const;
    void putInstance(Instance instance);
    void removeInstance(const std::string &id);
    void replaceInstances(std::vector<Instance> instances);
    // What the deployment publishes cannot be read at present, or can be read again.
    void sourceLost(const std::string &reason);
    void sourceRestored();

    // Stops in order: takes no new work, finishes what is under way, then calls the function once.
    void stop(std::function<void()> stopped);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace wisteriafork
