#include "relay/relay.h"

#include "net/endpoint.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/peerpool.h"
#include "net/peerserver.h"
#include "net/repeatingtimer.h"
#include "net/steadyclock.h"
#include "relay/peergateway.h"
#include "relay/readinesshandler.h"
#include "relay/relayparts.h"

namespace wisteriafork {

namespace {

// Bounds the delay with which time-outs are handled and hedged requests are sent.
constexpr std::chrono::milliseconds PollInterval{20};
constexpr std::chrono::milliseconds TickInterval{100};
// Time for other nodes to notice that this node is leaving, and for requests already sent to it to arrive: a few round trips between
// failure domains.
constexpr std::chrono::milliseconds LeavingPeriod{150};
// Time for idle connections of callers to be closed gracefully.
constexpr std::chrono::milliseconds ClosingPeriod{700};
// Time before the end of the grace period at which all requests that are still open get their answers.
constexpr std::chrono::milliseconds AnswerMargin{400};
// Time before the end of the grace period at which the process ends by itself instead of being killed.
constexpr std::chrono::milliseconds EndMargin{200};
// Time before the last answers at which requests that wait are refused, so that their callers can still send them elsewhere, and its
// largest share of the grace period. It allows some round trips to the nodes at which they wait.
constexpr std::chrono::milliseconds WaitMargin{1000};
constexpr int WaitMarginDivisor = 6;
constexpr std::chrono::milliseconds WaitRefusalInterval{100};
// Time for callers to receive the last answers before their connections are closed.
constexpr std::chrono::milliseconds AnsweringPeriod{100};
// More connections than the backend server has slots, because a connection is abandoned after some failures.
constexpr std::size_t MaxServerConnections = 512;
// The backend server is on this host, so that a connection is established at once or not at all.
constexpr std::chrono::milliseconds ServerConnectTimeout{500};
constexpr std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024;
constexpr std::chrono::seconds CallerIdleTimeout{120};

HttpLimits callerLimits(const RelaySettings &settings, std::shared_ptr<BufferBudget> bufferBudget)
{
    HttpLimits limits;
    limits.connectionLedger = std::make_shared<ConnectionLedger>(settings.maxCallerConnections);
    limits.bufferBudget = std::move(bufferBudget);
    limits.requestBodyBytes = MaxBodyBytes;
    limits.responseBodyBytes = MaxBodyBytes;
    limits.idleTimeout = CallerIdleTimeout;
    return limits;
}

// The readiness check and the metrics have room of their own, so that callers cannot make a node look dead.
HttpLimits readinessLimits(const RelaySettings &settings)
{
    HttpLimits limits;
    limits.connectionLedger = std::make_shared<ConnectionLedger>(settings.maxReadinessConnections);
    return limits;
}

HttpClientOptions serverOptions(const RelaySettings &settings, std::shared_ptr<BufferBudget> bufferBudget)
{
    HttpClientOptions options{.server = settings.serverEndpoint,
                              .maxConnections = MaxServerConnections,
                              .connectTimeout = ServerConnectTimeout,
                              .allowCloseDelimited = true,
                              .echoedField = settings.serverEchoesIds ? settings.headers.requestId : std::string()};
    options.limits.bufferBudget = std::move(bufferBudget);
    return options;
}

PeerOptions peerOptions(const RelaySettings &settings, std::shared_ptr<BufferBudget> bufferBudget)
{
    PeerOptions options = relayPeerOptions(settings);
    options.limits.bufferBudget = std::move(bufferBudget);
    return options;
}

} // namespace

class Relay::Impl
{
public:
    enum class StopPhase : std::uint8_t {
        // Only the readiness check fails, so that callers go elsewhere.
        CallerNotice,
        // Other nodes send no further requests, and connections of callers close after their responses.
        Leaving,
        // All accepted requests are answered; idle connections of callers are closed.
        Closing,
        // Requests that are still open or have arrived in part have their answers, which are being written.
        Answering,
    };

    Impl(asio::io_context &context, RelaySettings settings, EventLog &log, RelayNode::Callbacks callbacks)
        : bufferBudget(std::make_shared<BufferBudget>(settings.bufferBytes))
        , server(context, serverOptions(settings, bufferBudget))
        , peerPool(context, peerOptions(settings, bufferBudget))
        , node(context, std::move(settings), clock, log, std::move(callbacks), server, peerPool)
        , parts(node.parts())
        , readiness([this] { return parts.routes != nullptr && !parts.stopping && !draining; }, [this] { return node.metricsText(); })
        , callerServer(context, node.callerHandler(), callerLimits(parts.settings, bufferBudget))
        , peerServer(context, node.peerHandler(), peerOptions(parts.settings, bufferBudget))
        , readinessServer(context, readiness, readinessLimits(parts.settings))
        , metricsServer(context, readiness.metrics(), readinessLimits(parts.settings))
        , pollTimer(context, PollInterval, [this] { pollRequests(); })
        , tickTimer(context, TickInterval, [this] { node.tick(); })
    {
    }

    void pollRequests()
    {
        node.pollRequests();
        if (parts.stopping) {
            advanceStop();
        }
    }

    // Advances the shutdown. First only the readiness check fails, so that callers go elsewhere while other nodes can still reach the
    // instance. Then other nodes are notified, and the process ends as soon as the responses to all accepted requests are written. Near
    // the end of the grace period, requests that wait are refused, and then the others are answered with what is known of them.
    void advanceStop()
    {
        const TimePoint now = clock.now();
        parts.refusesCallers = stopPhase == StopPhase::Answering || now - stopStartTime >= parts.settings.stop.callerAcceptPeriod;
        if (now >= nextWaitRefusal) {
            nextWaitRefusal = now + WaitRefusalInterval;
            node.refuseWaitingRequests();
            callerServer.refuseUnfinishedRequests();
        }
        const bool atAnswerTime = now >= parts.stopDeadline;
        if (atAnswerTime) {
            brokenOffRequests += node.answerOpenRequests();
        }
        const bool idle = node.isIdle() && peerServer.openStreamCount() == 0 && callerServer.writingConnectionCount() == 0;
        const auto callersClosed = [&](Duration period) {
            return callerServer.connectionCount() == 0 || now - phaseStartTime >= period;
        };
        if (now >= stopStartTime + parts.settings.stop.gracePeriod - EndMargin
            || (stopPhase == StopPhase::Answering && idle && callersClosed(AnsweringPeriod))) {
            endStop();
        } else if (stopPhase != StopPhase::Answering
                   && (atAnswerTime || (stopPhase == StopPhase::Closing && idle && callersClosed(ClosingPeriod)))) {
            enterStopPhase(StopPhase::Answering);
            callerServer.refuseUnfinishedRequests();
        } else if (stopPhase == StopPhase::CallerNotice && now - stopStartTime >= parts.settings.stop.peerAcceptPeriod) {
            enterStopPhase(StopPhase::Leaving);
            parts.leaving = true;
            peerServer.stop();
            callerServer.closeAfterResponses();
        } else if (stopPhase == StopPhase::Leaving && idle && now - phaseStartTime >= LeavingPeriod) {
            enterStopPhase(StopPhase::Closing);
            callerServer.stop();
        }
    }

    void enterStopPhase(StopPhase phase)
    {
        stopPhase = phase;
        phaseStartTime = clock.now();
    }

    void endStop()
    {
        const Duration elapsedTime = clock.now() - stopStartTime;
        const std::size_t openRequests = brokenOffRequests + node.openRequestCount();
        parts.log.write(
            EventNumber::DrainFinished,
            {std::to_string(openRequests), std::to_string(std::chrono::duration_cast<std::chrono::seconds>(elapsedTime).count())});
        pollTimer.stop();
        tickTimer.stop();
        server.stop();
        peerPool.stop();
        if (const auto notifyStopped = std::exchange(onStopped, nullptr)) {
            notifyStopped(openRequests);
        }
    }

    SteadyClock clock;
    std::shared_ptr<BufferBudget> bufferBudget;
    HttpClient server;
    PeerPool peerPool;
    RelayNode node;
    RelayParts &parts;
    ReadinessHandler readiness;
    HttpServer callerServer;
    PeerServer peerServer;
    HttpServer readinessServer;
    HttpServer metricsServer;
    RepeatingTimer pollTimer;
    RepeatingTimer tickTimer;
    std::function<void(std::size_t)> onStopped;
    TimePoint stopStartTime;
    TimePoint phaseStartTime;
    TimePoint nextWaitRefusal;
    // Requests that were answered without an outcome because the process ends.
    std::size_t brokenOffRequests = 0;
    StopPhase stopPhase = StopPhase::CallerNotice;
    bool draining = false;
};

Relay::Relay(asio::io_context &context, RelaySettings settings, EventLog &log, RelayNode::Callbacks callbacks)
    : m_impl(std::make_unique<Impl>(context, std::move(settings), log, std::move(callbacks)))
{
}

Relay::~Relay() = default;

void Relay::start()
{
    const RelaySettings &settings = m_impl->parts.settings;
    m_impl->callerServer.listen(settings.callerEndpoint);
    m_impl->peerServer.listen(settings.peerEndpoint);
    m_impl->readinessServer.listen(settings.readinessEndpoint);
    if (settings.metricsEndpoint.port() != 0) {
        m_impl->metricsServer.listen(settings.metricsEndpoint);
    }
    m_impl->pollTimer.start();
    m_impl->tickTimer.start();
    m_impl->parts.log.write(
        EventNumber::NodeStarted,
        {settings.node, "0", settings.service.value(), settings.domain.value(), endpointText(settings.peerEndpoint), "relay"});
}

RelayNode &Relay::node()
{
    return m_impl->node;
}

const RelayNode &Relay::node() const
{
    return m_impl->node;
}

void Relay::setCallerLimits(const CallerLimits &limits)
{
    const HttpLimits defaults = callerLimits(m_impl->parts.settings, nullptr);
    m_impl->callerServer.setRequestBounds(limits.headerBytes != 0 ? limits.headerBytes : defaults.headerBytes,
                                          limits.bodyBytes != 0 ? std::min(limits.bodyBytes, MaxBodyBytes) : MaxBodyBytes);
}

void Relay::setDraining(bool draining)
{
    if (std::exchange(m_impl->draining, draining) != draining) {
        m_impl->parts.log.write(draining ? EventNumber::DrainStarted : EventNumber::DrainCancelled, {"operator"});
    }
}

bool Relay::isDraining() const
{
    return m_impl->draining || m_impl->parts.stopping;
}

void Relay::stop(std::function<void(std::size_t)> onStopped)
{
    if (m_impl->parts.stopping) {
        return;
    }
    m_impl->parts.stopping = true;
    m_impl->onStopped = std::move(onStopped);
    m_impl->stopStartTime = m_impl->clock.now();
    const Duration gracePeriod = m_impl->parts.settings.stop.gracePeriod;
    m_impl->parts.stopDeadline = m_impl->stopStartTime + gracePeriod - AnswerMargin;
    m_impl->nextWaitRefusal = m_impl->parts.stopDeadline - std::min<Duration>(WaitMargin, gracePeriod / WaitMarginDivisor);
    m_impl->parts.log.write(EventNumber::DrainStarted, {"signal"});
}

} // namespace wisteriafork
