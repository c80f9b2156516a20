#pragma once

#include "core/base/ids.h"
#include "fleet/virtualtime.h"
#include "net/peersender.h"
#include "net/serverexchange.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wisteriafork::fleet {

class PeerClientExchange;

// A host as the network sees it.
class NetworkHost
{
public:
    virtual ~NetworkHost() = default;

    virtual const std::string &peerAddress() const = 0;
    virtual const DomainId &domain() const = 0;
    // Whether the process of the node runs; true also while it is frozen.
    virtual bool isNodeRunning() const = 0;
    // Number of the node's process. It grows each time a process starts or stops, so that an action can be tied to one process.
    virtual unsigned incarnation() const = 0;
    // Runs the action in the process of this incarnation: at once, after the freeze if the node is frozen, or never if the process has
    // stopped.
    virtual void runInProcess(unsigned incarnation, std::function<void()> action) = 0;
    // Handler of the requests of peers; only while the node runs.
    virtual ServerHandler &peerHandler() = 0;
};

// Simulated network between the nodes. Delays requests and responses by a latency, and loses them where it is partitioned.
class Network
{
public:
    explicit Network(VirtualTime &time);

    // Makes the host reachable under its peer address. It must stay valid until `close`.
    void attachHost(NetworkHost &host);
    // Starts or ends a partition between this host and all others.
    void setHostIsolated(const NetworkHost &host, bool isolated);
    // Starts or ends a partition between this failure domain and all others.
    void setDomainSeparated(const DomainId &domain, bool separated);
    // Whether a partition separates the two hosts.
    bool isPartitioned(const NetworkHost &from, const NetworkHost &to) const;
    // The process of the node has stopped: cancels the requests that it sent, and breaks the connections of those that it received.
    void onNodeStopped(const NetworkHost &host);

    // Ends the simulation: requests and responses are no longer delivered, and hosts no longer used, so that they can be destroyed.
    void close()
    {
        m_closed = true;
    }

    bool isClosed() const
    {
        return m_closed;
    }

    // Sends a request to the host with this peer address. `extra` are additional header fields: they replace fields of the request with the
    // same name, an empty value removes the field, and `:path` gives the target. The handler runs in the process of the sender.
    std::shared_ptr<ClientExchange> send(NetworkHost &from, const std::string &address, const std::shared_ptr<const HttpRequest> &request,
                                         const HttpHeaders &extra, ResponseHandler handler);

    VirtualTime &time()
    {
        return m_time;
    }

    // Time that a message takes one way.
    Duration latency(const NetworkHost &from, const NetworkHost &to) const;

private:
    VirtualTime &m_time;
    std::map<std::string, NetworkHost *> m_hosts;
    // Peer addresses.
    std::set<std::string> m_isolatedHosts;
    std::set<DomainId> m_separatedDomains;
    std::vector<std::weak_ptr<PeerClientExchange>> m_exchanges;
    bool m_closed = false;
};

// Sends the requests of one node to its peers over the simulated network.
class PeerLink : public PeerSender
{
public:
    PeerLink(Network &network, NetworkHost &host);

    std::shared_ptr<ClientExchange> send(const std::string &address, std::shared_ptr<const HttpRequest> request, HttpHeaders extra,
                                         ResponseHandler handler) override;

private:
    Network &m_network;
    NetworkHost &m_host;
};

} // namespace wisteriafork::fleet
