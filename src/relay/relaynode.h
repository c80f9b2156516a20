#pragma once

#include "core/relay/instance.h"
#include "core/relay/routetable.h"
#include "net/peersender.h"
#include "net/requestsender.h"
#include "net/serverexchange.h"
#include "relay/relayobserver.h"
#include "relay/relaysettings.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wisteriafork {

class EventLog;
struct RelayParts;

// The decisions of one node with the handlers of its requests, without listeners, connections and timers. `Relay` runs it in a process, the
// fleet model in virtual time. All of it runs on the thread that runs the context.
class RelayNode
{
public:
    // How the node asks whoever reads the published state.
    struct Callbacks
    {
        // Everything that is known of the published state, in a form that other nodes of this deployment understand.
        std::function<std::string()> snapshot;
        // Another node told its snapshot.
        std::function<void(const std::string &peerAddress, const std::string &snapshot)> snapshotReceived;
        // Null if nobody wants reports.
        RelayObserver *observer = nullptr;
    };

    // All arguments passed by reference must outlive the object.
    RelayNode(asio::io_context &context, RelaySettings settings, const Clock &clock, EventLog &log, Callbacks callbacks,
              RequestSender &server, PeerSender &peers);
    ~RelayNode();

    // Receives the requests of callers and of the local backend server.
    ServerHandler &callerHandler();
    // Receives the requests of other nodes.
    ServerHandler &peerHandler();
    // Does what has become due for open requests. Call every 20 ms.
    void pollRequests();
    // Updates measurements, and what other nodes are told of them. Call every 100 ms.
    void tick();

    // A configuration is to be in force from now on. False for versions that are not newer than the one in force; those are ignored.
    bool applyRoutes(RouteTable table);
    std::uint64_t configurationVersion() const;
    void putInstance(Instance instance);
    void removeInstance(const std::string &id);
    void replaceInstances(std::vector<Instance> instances);
    // The list of instances cannot be read since some time after `lastAnswer`, or can be read again.
    void onInstanceSourceLost(const std::string &reason, TimePoint lastAnswer);
    void onInstanceSourceRestored();

    // Asks another node for its snapshot, as the node itself does when the other one has a newer configuration in force. While an answer is
    // awaited, nothing more is asked, because each answer of a newer node would ask again.
    void requestSnapshot(const std::string &peerAddress);

    // Nothing is under way for callers, and nothing on the local backend server.
    bool isIdle() const;
    // Requests that entered here or run on the local backend server.
    std::size_t openRequestCount() const;
    std::vector<Instance> instances() const;
    // Counters and histograms in the text exposition format.
    std::string metricsText() const;

    // Shared state of the request handlers.
    RelayParts &parts();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace wisteriafork
