#include "fleet/network.h"

#include "fleet/peerclientexchange.h"

namespace wisteriafork::fleet {

namespace {

// Time that a message takes one way, within a failure domain and between two.
constexpr Duration SameDomainLatency = std::chrono::microseconds(200);
constexpr Duration CrossDomainLatency = std::chrono::microseconds(2500);
// Finished exchanges are removed when more than this many are recorded.
constexpr std::size_t ExchangeSweepThreshold = 2000;

} // namespace

Network::Network(VirtualTime &time) : m_time(time)
{
}

void Network::attachHost(NetworkHost &host)
{
    m_hosts[host.peerAddress()] = &host;
}

void Network::setHostIsolated(const NetworkHost &host, bool isolated)
{
    if (isolated) {
        m_isolatedHosts.insert(host.peerAddress());
    } else {
        m_isolatedHosts.erase(host.peerAddress());
    }
}

void Network::setDomainSeparated(const DomainId &domain, bool separated)
{
    if (separated) {
        m_separatedDomains.insert(domain);
    } else {
        m_separatedDomains.erase(domain);
    }
}

bool Network::isPartitioned(const NetworkHost &from, const NetworkHost &to) const
{
    const bool crossesDomains
        = from.domain() != to.domain() && (m_separatedDomains.contains(from.domain()) || m_separatedDomains.contains(to.domain()));
    return crossesDomains || m_isolatedHosts.contains(from.peerAddress()) || m_isolatedHosts.contains(to.peerAddress());
}

void Network::onNodeStopped(const NetworkHost &host)
{
    std::vector<std::shared_ptr<PeerClientExchange>> open;
    for (const std::weak_ptr<PeerClientExchange> &known : m_exchanges) {
        if (const std::shared_ptr<PeerClientExchange> exchange = known.lock(); exchange && exchange->isOpen()) {
            open.push_back(exchange);
        }
    }
    for (const std::shared_ptr<PeerClientExchange> &exchange : open) {
        exchange->onNodeStopped(host);
    }
}

std::shared_ptr<ClientExchange> Network::send(NetworkHost &from, const std::string &address,
                                              const std::shared_ptr<const HttpRequest> &request, const HttpHeaders &extra,
                                              ResponseHandler handler)
{
    if (m_exchanges.size() > ExchangeSweepThreshold) {
        std::erase_if(m_exchanges, [](const std::weak_ptr<PeerClientExchange> &exchange) { return exchange.expired(); });
    }
    const auto found = m_hosts.find(address);
    auto exchange = std::make_shared<PeerClientExchange>(*this, from, found == m_hosts.end() ? nullptr : found->second, std::move(handler));
    m_exchanges.push_back(exchange);
    auto received = std::make_shared<HttpRequest>();
    received->body = request->body;
    for (const auto &[name, value] : request->headers.fields()) {
        if (!extra.contains(name)) {
            received->headers.add(name, value);
        }
    }
    for (const auto &[name, value] : extra.fields()) {
        if (name == ":path") {
            received->target = value;
        } else if (!value.empty()) {
            received->headers.add(name, value);
        }
    }
    exchange->sendRequest(std::move(received));
    return exchange;
}

Duration Network::latency(const NetworkHost &from, const NetworkHost &to) const
{
    return from.domain() == to.domain() ? SameDomainLatency : CrossDomainLatency;
}

PeerLink::PeerLink(Network &network, NetworkHost &host) : m_network(network), m_host(host)
{
}

std::shared_ptr<ClientExchange> PeerLink::send(const std::string &address, std::shared_ptr<const HttpRequest> request, HttpHeaders extra,
                                               ResponseHandler handler)
{
    return m_network.send(m_host, address, request, extra, std::move(handler));
}

} // namespace wisteriafork::fleet
