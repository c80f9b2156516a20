#pragma once

#include "core/relay/instance.h"
#include "core/relay/routetable.h"
#include "net/asio.h"
#include "relay/relayobserver.h"
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
    // How the relay asks whoever reads the published state.
    struct Callbacks
    {
        // Everything that is known of the published state, in a form that other nodes of this deployment understand.
        std::function<std::string()> snapshot;
        // Another node told its snapshot.
        std::function<void(const std::string &peerAddress, const std::string &snapshot)> snapshotReceived;
        // Null if nobody wants reports.
        RelayObserver *observer = nullptr;
    };

    Relay(asio::io_context &context, RelaySettings settings, EventLog &log, Callbacks callbacks);
    ~Relay();

    // Opens the listeners. Throws boost::system::system_error if that fails.
    void start();

    // A configuration is to be in force from now on. Versions that are not newer than the one in force are ignored.
    // False for those.
    bool applyRoutes(RouteTable table);
    std::uint64_t configurationVersion() const;
    void putInstance(Instance instance);
    void removeInstance(const std::string &id);
    void replaceInstances(std::vector<Instance> instances);
    // The list of instances cannot be read since some time after `lastAnswer`, or can be read again.
    void sourceLost(const std::string &reason, TimePoint lastAnswer);
    void sourceRestored();

    // Asks another node for its snapshot, as the relay itself does when that node has a newer configuration in force. While an answer is
    // awaited, nothing more is asked, because each answer of a newer node would ask again.
    void askForSnapshot(const std::string &peerAddress);

    // Tells callers to stay away, or to come again, while all requests are served as before.
    void setDraining(bool draining);
    bool isDraining() const;
    // Requests that entered here or run on the local backend server.
    std::size_t openRequests() const;
    std::vector<Instance> instances() const;
    // Counters and histograms in the text exposition format.
    std::string metricsText() const;

    // Stops in order: takes no new work, finishes what is under way, then calls the function once.
    void stop(std::function<void()> stopped);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace wisteriafork
