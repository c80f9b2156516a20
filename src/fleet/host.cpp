#include "fleet/host.h"

#include "fleet/names.h"
#include "net/endpoint.h"

namespace wisteriafork::fleet {

namespace {

// Intervals at which a relay calls its node.
constexpr Duration WakeInterval = std::chrono::milliseconds(20);
constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr std::uint16_t PeerPort = 7101;
constexpr std::uint16_t ServerPort = 80;

Tcp::endpoint endpointOf(unsigned number, std::uint16_t port)
{
    constexpr std::uint32_t Network = 10U << 24U;
    return {asio::ip::address_v4(Network | (number + 1)), port};
}

} // namespace

Host::Host(VirtualTime &time, Network &network, RandomEngine &random, History &history, HostOptions options, std::ostream &logText)
    : m_time(time)
    , m_network(network)
    , m_options(std::move(options))
    , m_peerAddress(endpointText(endpointOf(m_options.number, PeerPort)))
    , m_log(LogOptions{.format = LogFormat::KeyValue}, logText)
    , m_link(network, *this)
    , m_server(time, random, history, m_options.server,
               [this](const std::function<void(ServerHandler &)> &action) { return withNode(action); })
    , m_serverLink(*this)
{
    network.attach(*this);
}

Host::~Host()
{
    // Nothing that the nodes give up now may reach them again.
    ++m_incarnation;
    m_server.nodeEnded();
}

void Host::startNode()
{
    ++m_incarnation;
    m_node = std::make_unique<RelayNode>(m_time.context(),
                                         RelaySettings{.node = "n" + std::to_string(m_options.number),
                                                       .service = ServiceId(m_options.server.service),
                                                       .domain = m_options.domain,
                                                       .peerEndpoint = endpointOf(m_options.number, PeerPort),
                                                       .serverEndpoint = endpointOf(m_options.number, ServerPort),
                                                       .headers = modelHeaderNames(),
                                                       .seed = m_options.seed + m_incarnation,
                                                       .incarnation = m_incarnation},
                                         m_time.clock(), m_log,
                                         RelayNode::Callbacks{.snapshot = [this] { return snapshot; },
                                                              .snapshotReceived =
                                                                  [this](const std::string &, const std::string &received) {
                                                                      snapshotReceived(*this, received);
                                                                  }},
                                         m_serverLink, m_link);
    snapshot.clear();
    schedule(WakeInterval, &RelayNode::pollRequests);
    schedule(TickInterval, &RelayNode::tick);
    nodeStarted(*this);
}

void Host::killNode()
{
    ++m_incarnation;
    m_ended.push_back(std::move(m_node));
    m_held.clear();
    m_frozenUntil = {};
    m_network.ended(*this);
    m_server.nodeEnded();
}

void Host::freezeNode(Duration time)
{
    m_frozenUntil = m_time.now() + time;
    m_time.after(time, [this, incarnation = m_incarnation] {
        if (incarnation == m_incarnation) {
            for (const std::function<void()> &action : std::exchange(m_held, {})) {
                run(incarnation, action);
            }
        }
    });
}

void Host::run(unsigned incarnation, std::function<void()> action)
{
    if (incarnation != m_incarnation || !m_node) {
        return;
    }
    if (isFrozen()) {
        m_held.push_back(std::move(action));
    } else {
        action();
    }
}

ServerHandler &Host::peerHandler()
{
    return m_node->peerHandler();
}

Instance Host::entry(std::uint64_t listed) const
{
    return {.id = m_server.instance(),
            .service = ServiceId(m_options.server.service),
            .address = endpointText(endpointOf(m_options.number, ServerPort)),
            .peerAddress = m_peerAddress,
            .domain = m_options.domain,
            .slots = m_options.server.slots,
            .listRevision = listed};
}

bool Host::withNode(const std::function<void(ServerHandler &)> &action)
{
    if (!m_node) {
        return false;
    }
    run(m_incarnation, [this, action] { action(m_node->callerHandler()); });
    return true;
}

Host::ServerLink::ServerLink(Host &host) : m_host(host)
{
}

std::shared_ptr<ClientExchange> Host::ServerLink::send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra,
                                                       ResponseHandler handler)
{
    auto inProcess = [&host = m_host, incarnation = m_host.m_incarnation,
                      handler = std::move(handler)](tl::expected<HttpResponse, ExchangeError> result) {
        host.run(incarnation, [handler, result = std::move(result)] { handler(result); });
    };
    return m_host.m_server.send(std::move(request), std::move(extra), std::move(inProcess));
}

void Host::schedule(Duration interval, void (RelayNode::*function)())
{
    m_time.after(interval, [this, interval, function, incarnation = m_incarnation] {
        if (incarnation != m_incarnation) {
            return;
        }
        if (!isFrozen()) {
            (*m_node.*function)();
        }
        schedule(interval, function);
    });
}

} // namespace wisteriafork::fleet
