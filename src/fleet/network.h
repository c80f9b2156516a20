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

class Flight;

// What the network needs of a host.
class NetworkHost
{
public:
    virtual ~NetworkHost() = default;

    virtual const std::string &peerAddress() const = 0;
    virtual const DomainId &domain() const = 0;
    virtual bool isUp() const = 0;
    // Grows each time the process of the node ends.
    virtual unsigned incarnation() const = 0;
    // Runs the action in the process of this incarnation: later if the host stands still, never if the process has ended.
    virtual void run(unsigned incarnation, std::function<void()> action) = 0;
    virtual ServerHandler &peerHandler() = 0;
};

// Carries requests between nodes with a latency, and loses what crosses a cut.
class Network
{
public:
    explicit Network(VirtualTime &time);

    void attach(NetworkHost &host);
    // Sends to and from this host are lost, or pass again.
    void isolate(const NetworkHost &host, bool isolated);
    void separate(const DomainId &domain, bool separated);
    bool isCut(const NetworkHost &from, const NetworkHost &to) const;
    // The process of the node has ended: its peers notice that connections break.
    void ended(const NetworkHost &host);

    // The run is over: nothing is carried any more, and hosts are not looked at.
    void close()
    {
        m_closed = true;
    }

    bool isClosed() const
    {
        return m_closed;
    }

    std::shared_ptr<ClientExchange> send(NetworkHost &from, const std::string &address, const std::shared_ptr<const HttpRequest> &request,
                                         const HttpHeaders &extra, ResponseHandler handler);

    VirtualTime &time()
    {
        return m_time;
    }

    Duration latency(const NetworkHost &from, const NetworkHost &to) const;

private:
    VirtualTime &m_time;
    std::map<std::string, NetworkHost *> m_hosts;
    std::set<std::string> m_isolated;
    std::set<DomainId> m_separated;
    std::vector<std::weak_ptr<Flight>> m_flights;
    bool m_closed = false;
};

// The connections of one node to its peers.
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
