#pragma once

#include "fleet/backendserver.h"
#include "fleet/network.h"
#include "observability/eventlog.h"
#include "relay/relaynode.h"

#include <ostream>

namespace wisteriafork::fleet {

struct HostOptions
{
    // Index in the fleet. Gives the node's name and the addresses.
    unsigned number = 0;
    DomainId domain;
    BackendServerOptions server;
    // Seed of the node's random numbers; each process of the node adds its incarnation.
    std::uint64_t seed = 1;
};

// A simulated host with a node and its backend server.
class Host : public NetworkHost
{
public:
    using NodeStartHandler = std::function<void(Host &)>;
    using SnapshotHandler = std::function<void(Host &, const std::string &snapshot)>;

    // The node is not running yet. All arguments passed by reference must outlive the object.
    Host(VirtualTime &time, Network &network, RandomEngine &random, History &history, HostOptions options, std::ostream &logText);
    ~Host() override;

    // Starts a new process of the node.
    void startNode();
    // Stops the process of the running node without draining.
    void killNode();
    // Suspends the process of the running node. Its actions are deferred until the time has passed.
    void freezeNode(Duration freezeTime);

    const std::string &peerAddress() const override
    {
        return m_peerAddress;
    }

    const DomainId &domain() const override
    {
        return m_options.domain;
    }

    bool isNodeRunning() const override
    {
        return m_node != nullptr;
    }

    unsigned incarnation() const override
    {
        return m_incarnation;
    }

    void runInProcess(unsigned incarnation, std::function<void()> action) override;
    ServerHandler &peerHandler() override;

    const std::string &service() const
    {
        return m_options.server.service;
    }

    BackendServer &server()
    {
        return m_server;
    }

    // Only while the node runs.
    RelayNode &node()
    {
        return *m_node;
    }

    bool isNodeFrozen() const
    {
        return m_time.now() < m_frozenUntil;
    }

    // Entry of the published list for the instance that the backend server now runs as.
    Instance listEntry(std::uint64_t listRevision) const;

    // Called after each start of the node, which does not know the published instances and configuration yet.
    NodeStartHandler onNodeStarted;
    // Called when the node has received the snapshot of a peer.
    SnapshotHandler onSnapshotReceived;
    // Snapshot that the node sends to its peers: the version of its configuration as a number, empty if it has none.
    std::string snapshot;
    // The node cannot read the published instances and configuration.
    bool isCutOff = false;
    // Time from a publication to its arrival at the node.
    Duration publishDelay{};

private:
    // Sends the requests of the node to the local backend server.
    class ServerLink : public RequestSender
    {
    public:
        explicit ServerLink(Host &host);

        std::shared_ptr<ClientExchange> send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra,
                                             ResponseHandler handler) override;
        void probe(std::function<void(bool accepted)> handler) override;

    private:
        Host &m_host;
    };

    // Calls the action in the process of the node, with its handler of callers' requests. Returns false if the node does not run.
    bool runWithCallerHandler(const std::function<void(ServerHandler &)> &action);
    // Calls the function at this interval until the present process of the node stops. Skips the calls while it is frozen.
    void scheduleNodeCall(Duration interval, void (RelayNode::*function)());

    VirtualTime &m_time;
    Network &m_network;
    const HostOptions m_options;
    const std::string m_peerAddress;
    EventLog m_log;
    PeerLink m_peerLink;
    BackendServer m_server;
    ServerLink m_serverLink;
    std::unique_ptr<RelayNode> m_node;
    // Nodes whose process has stopped. They are kept because work that they have posted may still refer to them.
    std::vector<std::unique_ptr<RelayNode>> m_stoppedNodes;
    unsigned m_incarnation = 0;
    TimePoint m_frozenUntil{};
    // Actions to run when the node is no longer frozen.
    std::vector<std::function<void()>> m_deferredActions;
};

} // namespace wisteriafork::fleet
