#include "fleet/host.h"

#include "fleet/wirenames.h"
#include "net/endpoint.h"

namespace wisteriafork::fleet {

namespace {

// Intervals of the calls to a node; the ones that `RelayNode` documents.
constexpr Duration PollInterval = std::chrono::milliseconds(20);
constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr std::uint16_t PeerPort = 7101;
constexpr std::uint16_t ServerPort = 80;

Tcp::endpoint endpointOf(unsigned number, std::uint16_t port)
{
    constexpr std::uint32_t NetworkPrefix = 10U << 24U;
    return {asio::ip::address_v4(NetworkPrefix | (number + 1)), port};
}

} // namespace

Host::Host(VirtualTime &time, Network &network, RandomEngine &random, History &history, HostOptions options, std::ostream &logText)
    : m_time(time)
    , m_network(network)
    , m_options(std::move(options))
    , m_peerAddress(endpointText(endpointOf(m_options.number, PeerPort)))
    , m_log(LogOptions{.format = LogFormat::KeyValue}, logText)
    , m_peerLink(network, *this)
    , m_server(time, random, history, m_options.server,
               [this](const std::function<void(ServerHandler &)> &action) { return runWithCallerHandler(action); })
    , m_serverLink(*this)
{
    network.attachHost(*this);
}

Host::~Host()
{
    // Makes the incarnation outdated, so that actions that the destruction triggers are dropped.
    ++m_incarnation;
    m_server.onNodeStopped();
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
                                                       .headers = simulatedHeaderNames(),
                                                       .seed = m_options.seed + m_incarnation,
                                                       .incarnation = m_incarnation},
                                         m_time.clock(), m_log,
                                         RelayNode::Callbacks{.snapshot = [this] { return snapshot; },
                                                              .onSnapshotReceived =
                                                                  [this](const std::string &, const std::string &received) {
                                                                      onSnapshotReceived(*this, received);
                                                                  }},
                                         m_serverLink, m_peerLink);
    snapshot.clear();
    scheduleNodeCall(PollInterval, &RelayNode::pollRequests);
    scheduleNodeCall(TickInterval, &RelayNode::tick);
    onNodeStarted(*this);
}

void Host::killNode()
{
    ++m_incarnation;
    m_stoppedNodes.push_back(std::move(m_node));
    m_deferredActions.clear();
    m_frozenUntil = {};
    m_network.onNodeStopped(*this);
    m_server.onNodeStopped();
}

void Host::freezeNode(Duration freezeTime)
{
    m_frozenUntil = m_time.now() + freezeTime;
    m_time.scheduleAfter(freezeTime, [this, incarnation = m_incarnation] {
        if (incarnation == m_incarnation) {
            for (const std::function<void()> &action : std::exchange(m_deferredActions, {})) {
                runInProcess(incarnation, action);
            }
        }
    });
}

void Host::runInProcess(unsigned incarnation, std::function<void()> action)
{
    if (incarnation != m_incarnation || !m_node) {
        return;
    }
    if (isNodeFrozen()) {
        m_deferredActions.push_back(std::move(action));
    } else {
        action();
    }
}

ServerHandler &Host::peerHandler()
{
    return m_node->peerHandler();
}

Instance Host::listEntry(std::uint64_t listRevision) const
{
    return {.id = m_server.instance(),
            .service = ServiceId(m_options.server.service),
            .address = endpointText(endpointOf(m_options.number, ServerPort)),
            .peerAddress = m_peerAddress,
            .domain = m_options.domain,
            .slots = m_options.server.slots,
            .listRevision = listRevision};
}

bool Host::runWithCallerHandler(const std::function<void(ServerHandler &)> &action)
{
    if (!m_node) {
        return false;
    }
    runInProcess(m_incarnation, [this, action] { action(m_node->callerHandler()); });
    return true;
}

Host::ServerLink::ServerLink(Host &host) : m_host(host)
{
}

std::shared_ptr<ClientExchange> Host::ServerLink::send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra,
                                                       ResponseHandler handler)
{
    auto handlerInProcess = [&host = m_host, incarnation = m_host.m_incarnation,
                             handler = std::move(handler)](tl::expected<HttpResponse, ExchangeError> result) {
        host.runInProcess(incarnation, [handler, result = std::move(result)] { handler(result); });
    };
    return m_host.m_server.send(std::move(request), std::move(extra), std::move(handlerInProcess));
}

void Host::ServerLink::probe(std::function<void(bool accepted)> handler)
{
    m_host.m_server.probe([&host = m_host, incarnation = m_host.m_incarnation, handler = std::move(handler)](bool accepted) {
        host.runInProcess(incarnation, [handler, accepted] { handler(accepted); });
    });
}

void Host::scheduleNodeCall(Duration interval, void (RelayNode::*function)())
{
    m_time.scheduleAfter(interval, [this, interval, function, incarnation = m_incarnation] {
        if (incarnation != m_incarnation) {
            return;
        }
        if (!isNodeFrozen()) {
            (*m_node.*function)();
        }
        scheduleNodeCall(interval, function);
    });
}

} // namespace wisteriafork::fleet
