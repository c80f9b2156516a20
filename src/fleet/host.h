#pragma once

#include "fleet/backendserver.h"
#include "fleet/network.h"
#include "observability/eventlog.h"
#include "relay/relaynode.h"

#include <ostream>

namespace wisteriafork::fleet {

struct HostOptions
{
    unsigned number = 0;
    DomainId domain;
    BackendServerOptions server;
    std::uint64_t seed = 1;
};

// A host with a node and the backend server beside it.
class Host : public NetworkHost
{
public:
    // How a node comes to know the published state; called with the host on each start of its node.
    using Published = std::function<void(Host &)>;
    using PeerState = std::function<void(Host &, const std::string &snapshot)>;

    Host(VirtualTime &time, Network &network, RandomEngine &random, History &history, HostOptions options, std::ostream &logText);
    ~Host() override;

    void startNode();
    void killNode();
    // Nothing happens in the process of the node for this time.
    void freezeNode(Duration time);

    const std::string &peerAddress() const override
    {
        return m_peerAddress;
    }

    const DomainId &domain() const override
    {
        return m_options.domain;
    }

    bool isUp() const override
    {
        return m_node != nullptr;
    }

    unsigned incarnation() const override
    {
        return m_incarnation;
    }

    void run(unsigned incarnation, std::function<void()> action) override;
    ServerHandler &peerHandler() override;

    const std::string &service() const
    {
        return m_options.server.service;
    }

    BackendServer &server()
    {
        return m_server;
    }

    // The running node; only while the host is up.
    RelayNode &node()
    {
        return *m_node;
    }

    bool isFrozen() const
    {
        return m_time.now() < m_frozenUntil;
    }

    // Entry of the list for the instance that runs here now.
    Instance entry(std::uint64_t listed) const;

    Published nodeStarted;
    PeerState snapshotReceived;
    // The state that this node knows, as other nodes read it.
    std::string snapshot;
    // The node cannot read what is published.
    bool cutOff = false;
    // Time from a change to its arrival here.
    Duration publishDelay{};

private:
    // The connections of the node to the backend server beside it.
    class ServerLink : public RequestSender
    {
    public:
        explicit ServerLink(Host &host);

        std::shared_ptr<ClientExchange> send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra,
                                             ResponseHandler handler) override;

    private:
        Host &m_host;
    };

    bool withNode(const std::function<void(ServerHandler &)> &action);
    void schedule(Duration interval, void (RelayNode::*function)());

    VirtualTime &m_time;
    Network &m_network;
    const HostOptions m_options;
    const std::string m_peerAddress;
    EventLog m_log;
    PeerLink m_link;
    BackendServer m_server;
    ServerLink m_serverLink;
    std::unique_ptr<RelayNode> m_node;
    // Nodes that have ended. They are kept because what they have posted may still refer to them.
    std::vector<std::unique_ptr<RelayNode>> m_ended;
    unsigned m_incarnation = 0;
    TimePoint m_frozenUntil{};
    std::vector<std::function<void()>> m_held;
};

} // namespace wisteriafork::fleet
