#include "fleet/network.h"

#include "fleet/flight.h"

namespace wisteriafork::fleet {

namespace {

// Time from host to host within a failure domain and between two.
constexpr Duration NearLatency = std::chrono::microseconds(200);
constexpr Duration FarLatency = std::chrono::microseconds(2500);
// Flights that have ended are forgotten when this many are kept.
constexpr std::size_t SweepSize = 2000;

} // namespace

Network::Network(VirtualTime &time) : m_time(time)
{
}

void Network::attach(NetworkHost &host)
{
    m_hosts[host.peerAddress()] = &host;
}

void Network::isolate(const NetworkHost &host, bool isolated)
{
    if (isolated) {
        m_isolated.insert(host.peerAddress());
    } else {
        m_isolated.erase(host.peerAddress());
    }
}

void Network::separate(const DomainId &domain, bool separated)
{
    if (separated) {
        m_separated.insert(domain);
    } else {
        m_separated.erase(domain);
    }
}

bool Network::isCut(const NetworkHost &from, const NetworkHost &to) const
{
    const bool across = from.domain() != to.domain() && (m_separated.contains(from.domain()) || m_separated.contains(to.domain()));
    return across || m_isolated.contains(from.peerAddress()) || m_isolated.contains(to.peerAddress());
}

void Network::ended(const NetworkHost &host)
{
    std::vector<std::shared_ptr<Flight>> open;
    for (const std::weak_ptr<Flight> &known : m_flights) {
        if (const std::shared_ptr<Flight> flight = known.lock(); flight && flight->isOpen()) {
            open.push_back(flight);
        }
    }
    for (const std::shared_ptr<Flight> &flight : open) {
        flight->hostEnded(host);
    }
}

std::shared_ptr<ClientExchange> Network::send(NetworkHost &from, const std::string &address,
                                              const std::shared_ptr<const HttpRequest> &request, const HttpHeaders &extra,
                                              ResponseHandler handler)
{
    if (m_flights.size() > SweepSize) {
        std::erase_if(m_flights, [](const std::weak_ptr<Flight> &flight) { return flight.expired(); });
    }
    const auto found = m_hosts.find(address);
    auto flight = std::make_shared<Flight>(*this, from, found == m_hosts.end() ? nullptr : found->second, std::move(handler));
    m_flights.push_back(flight);
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
    flight->depart(std::move(received));
    return flight;
}

Duration Network::latency(const NetworkHost &from, const NetworkHost &to) const
{
    return from.domain() == to.domain() ? NearLatency : FarLatency;
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
