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

// Calls end, and late answers are asked for again, at most this time after they are due.
constexpr std::chrono::milliseconds WakeInterval{20};
constexpr std::chrono::milliseconds TickInterval{100};
// Time in which other nodes learn that this one leaves and what they have sent before arrives: some round trips between failure domains.
constexpr std::chrono::milliseconds LeavingTime{150};
// Time for unused connections of callers to be closed in order.
constexpr std::chrono::milliseconds ClosingTime{700};
// Time before the process is killed at which it ends by itself.
constexpr std::chrono::milliseconds StopReserve{400};
// Connections to the backend server: more than it has slots, because a connection is given up after some failures.
constexpr std::size_t ServerConnections = 512;
// The backend server is on this host, so a connection is made at once or not at all.
constexpr std::chrono::milliseconds ServerConnectTimeout{500};
constexpr std::size_t LargestBody = std::size_t{64} * 1024 * 1024;
constexpr std::chrono::seconds CallerIdle{120};

HttpLimits callerLimits()
{
    HttpLimits limits;
    limits.requestBodyBytes = LargestBody;
    limits.responseBodyBytes = LargestBody;
    limits.idleTimeout = CallerIdle;
    return limits;
}

HttpClientOptions serverOptions(const RelaySettings &settings)
{
    return {.server = settings.serverEndpoint,
            .maxConnections = ServerConnections,
            .connectTimeout = ServerConnectTimeout,
            .allowCloseDelimited = true,
            .echoedField = settings.serverEchoesIds ? settings.headers.requestId : std::string()};
}

} // namespace

class Relay::Private
{
public:
    enum class StopPhase : std::uint8_t {
        Notice,
        Leaving,
        Closing,
    };

    Private(asio::io_context &context, RelaySettings settings, EventLog &log, RelayNode::Callbacks callbacks)
        : server(context, serverOptions(settings))
        , peerPool(context, relayPeerOptions(settings))
        , node(context, std::move(settings), clock, log, std::move(callbacks), server, peerPool)
        , parts(node.parts())
        , readiness([this] { return parts.routes != nullptr && !parts.stopping && !draining; }, [this] { return node.metricsText(); })
        , callerServer(context, node.callerHandler(), callerLimits())
        , peerServer(context, node.peerHandler(), relayPeerOptions(parts.settings))
        , readinessServer(context, readiness, HttpLimits{})
        , metricsServer(context, readiness.metrics(), HttpLimits{})
        , wakeTimer(context, WakeInterval, [this] { wake(); })
        , tickTimer(context, TickInterval, [this] { node.tick(); })
    {
    }

    void wake()
    {
        node.pollRequests();
        if (parts.stopping) {
            checkStop();
        }
    }

    // Callers are told to stay away first, while everything is served as before, so that the instance can be reached until the last moment.
    // Then other nodes are told, and the process ends as soon as what it has taken is answered.
    void checkStop()
    {
        const TimePoint now = clock.now();
        const bool idle = node.isIdle();
        parts.refusesCallers = now - stopStarted >= parts.settings.stop.callerAcceptPeriod;
        const bool atBound = now - stopStarted >= parts.settings.stop.gracePeriod - StopReserve;
        const bool closed = callerServer.connectionCount() == 0 || now - phaseStarted >= ClosingTime;
        if (atBound || (stopPhase == StopPhase::Closing && idle && closed)) {
            endStop();
        } else if (stopPhase == StopPhase::Notice && now - stopStarted >= parts.settings.stop.peerAcceptPeriod) {
            enterStopPhase(StopPhase::Leaving);
            parts.leaving = true;
            peerServer.stop();
            callerServer.closeAfterResponses();
        } else if (stopPhase == StopPhase::Leaving && idle && now - phaseStarted >= LeavingTime) {
            enterStopPhase(StopPhase::Closing);
            callerServer.stop();
        }
    }

    void enterStopPhase(StopPhase phase)
    {
        stopPhase = phase;
        phaseStarted = clock.now();
    }

    void endStop()
    {
        const Duration took = clock.now() - stopStarted;
        parts.log.write(EventNumber::DrainFinished, {"0", std::to_string(std::chrono::duration_cast<std::chrono::seconds>(took).count())});
        finish();
    }

    void finish()
    {
        wakeTimer.stop();
        tickTimer.stop();
        server.stop();
        peerPool.stop();
        if (const auto done = std::exchange(stopped, nullptr)) {
            done();
        }
    }

    SteadyClock clock;
    HttpClient server;
    PeerPool peerPool;
    RelayNode node;
    RelayParts &parts;
    ReadinessHandler readiness;
    HttpServer callerServer;
    PeerServer peerServer;
    HttpServer readinessServer;
    HttpServer metricsServer;
    RepeatingTimer wakeTimer;
    RepeatingTimer tickTimer;
    std::function<void()> stopped;
    TimePoint stopStarted;
    TimePoint phaseStarted;
    StopPhase stopPhase = StopPhase::Notice;
    bool draining = false;
};

Relay::Relay(asio::io_context &context, RelaySettings settings, EventLog &log, RelayNode::Callbacks callbacks)
    : d(std::make_unique<Private>(context, std::move(settings), log, std::move(callbacks)))
{
}

Relay::~Relay() = default;

void Relay::start()
{
    const RelaySettings &settings = d->parts.settings;
    d->callerServer.listen(settings.callerEndpoint);
    d->peerServer.listen(settings.peerEndpoint);
    d->readinessServer.listen(settings.readinessEndpoint);
    if (settings.metricsEndpoint.port() != 0) {
        d->metricsServer.listen(settings.metricsEndpoint);
    }
    d->wakeTimer.start();
    d->tickTimer.start();
    d->parts.log.write(
        EventNumber::NodeStarted,
        {settings.node, "0", settings.service.value(), settings.domain.value(), endpointText(settings.peerEndpoint), "relay"});
}

RelayNode &Relay::node()
{
    return d->node;
}

const RelayNode &Relay::node() const
{
    return d->node;
}

void Relay::setDraining(bool draining)
{
    if (std::exchange(d->draining, draining) != draining) {
        d->parts.log.write(draining ? EventNumber::DrainStarted : EventNumber::DrainCancelled, {"operator"});
    }
}

bool Relay::isDraining() const
{
    return d->draining || d->parts.stopping;
}

void Relay::stop(std::function<void()> stopped)
{
    if (d->parts.stopping) {
        return;
    }
    d->parts.stopping = true;
    d->stopped = std::move(stopped);
    d->stopStarted = d->clock.now();
    d->parts.log.write(EventNumber::DrainStarted, {"signal"});
}

} // namespace wisteriafork
