#include "relay/relay.h"

#include "net/codec.h"
#include "net/httpserver.h"
#include "net/peerserver.h"
#include "net/repeatingtimer.h"
#include "net/steadyclock.h"
#include "relay/callerhandler.h"
#include "relay/instancegateway.h"
#include "relay/peergateway.h"
#include "relay/peerhandler.h"
#include "relay/readinesshandler.h"
#include "relay/servinggateway.h"

#include <cinttypes>
#include <cstdio>
#include <sstream>

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
constexpr unsigned TicksPerLoadLine = 10;
constexpr std::size_t LargestBody = std::size_t{64} * 1024 * 1024;
constexpr std::chrono::seconds CallerIdle{120};

HttpLimits callerLimits()
{
    HttpLimits limits;
    limits.requestBodyBytes = LargestBody;
    limits.answerBodyBytes = LargestBody;
    limits.idleTimeout = CallerIdle;
    return limits;
}

std::string text(const Tcp::endpoint &endpoint)
{
    std::ostringstream stream;
    stream << endpoint;
    return stream.str();
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

    Private(asio::io_context &context, RelaySettings settings, EventLog &log, Callbacks callbacks)
        : parts(context, std::move(settings), clock, log)
        , serving(parts)
        , peers(parts)
        , instances(parts, serving, peers)
        , callers(parts, instances)
        , peerHandler(parts, serving, std::move(callbacks.snapshot))
        , snapshotReceived(std::move(callbacks.snapshotReceived))
        , readiness([this] { return parts.routes != nullptr && !parts.stopping && !draining; }, [this] { return parts.metrics.text(); })
        , callerServer(context, callers, callerLimits())
        , peerServer(context, peerHandler, relayPeerOptions(parts.settings))
        , readinessServer(context, readiness, HttpLimits{})
        , metricsServer(context, readiness.metrics(), HttpLimits{})
        , wakeTimer(context, WakeInterval, [this] { wake(); })
        , tickTimer(context, TickInterval, [this] { tick(); })
    {
        parts.ownPeerAddress = text(parts.settings.peers);
        parts.newerVersionSeen = [this](const std::string &peer) {
            askForSnapshot(peer);
        };
        parts.observer = callbacks.observer;
    }

    void wake()
    {
        callers.wake();
        serving.poll();
        if (parts.stopping) {
            checkStop();
        }
    }

    void tick()
    {
        parts.directory.tick();
        serving.tick();
        reportSuspects();
        logLoad();
        if (const Instance *own = parts.directory.atAddress(text(parts.settings.server))) {
            parts.queue.setSlots(own->slots);
        }
    }

    void reportSuspects()
    {
        parts.crashGuard.tick();
        if (const std::optional<CrashSuspects> reports = parts.crashGuard.takeReports()) {
            const std::string encoded = encodeMessage(*reports);
            for (const std::string &address : parts.directory.peerAddresses()) {
                if (address != parts.ownPeerAddress) {
                    peers.sendSuspects(address, encoded);
                }
            }
            for (const SuspectReport &report : reports->suspects) {
                char fingerprint[40];
                std::snprintf(fingerprint, sizeof(fingerprint), "%016" PRIx64 "%016" PRIx64, report.fingerprint.high,
                              report.fingerprint.low);
                const EventNumber event = report.state == SuspectState::Banned ? EventNumber::RequestBlocked
                    : report.state == SuspectState::Suspected                  ? EventNumber::RequestSuspected
                                                                               : EventNumber::RequestCleared;
                parts.log.decision(event, false, [&] {
                    return std::vector<std::string>{fingerprint, parts.settings.service.value(), std::to_string(report.crashes.size())};
                });
            }
        }
    }

    // One line a second while there is work.
    void logLoad()
    {
        const ServingReport report = parts.queue.report();
        if (++ticks % TicksPerLoadLine != 0 || (report.running == 0 && callers.isIdle())) {
            return;
        }
        char pressure[16];
        std::snprintf(pressure, sizeof(pressure), "%.3f", report.pressure);
        parts.log.write(EventNumber::ServingLoad,
                        {std::to_string(report.limit), std::to_string(report.running), std::to_string(report.queued),
                         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(parts.queue.takeGreatestWait()).count()),
                         pressure, std::to_string(callers.openCount())});
    }

    // Callers are told to stay away first, while everything is served as before, so that the instance can be reached until the last moment.
    // Then other nodes are told, and the process ends as soon as what it has taken is answered.
    void checkStop()
    {
        const TimePoint now = clock.now();
        const bool idle = callers.isIdle() && serving.isIdle();
        parts.refusesCallers = now - stopStarted >= parts.settings.stop.accepting;
        const bool atBound = now - stopStarted >= parts.settings.stop.grace - StopReserve;
        const bool closed = callerServer.connectionCount() == 0 || now - phaseStarted >= ClosingTime;
        if (atBound || (stopPhase == StopPhase::Closing && idle && closed)) {
            endStop();
        } else if (stopPhase == StopPhase::Notice && now - stopStarted >= parts.settings.stop.notice) {
            enterStopPhase(StopPhase::Leaving);
            parts.leaving = true;
            peerServer.stop();
            callerServer.closeAfterAnswers();
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
        serving.stop();
        peers.stop();
        if (const auto done = std::exchange(stopped, nullptr)) {
            done();
        }
    }

    void askForSnapshot(const std::string &address)
    {
        if (std::exchange(asking, true)) {
            return;
        }
        peers.fetchSnapshot(address, [this, address](const std::optional<std::string> &text) {
            asking = false;
            if (text && snapshotReceived) {
                snapshotReceived(address, *text);
            }
        });
    }

    SteadyClock clock;
    RelayParts parts;
    ServingGateway serving;
    PeerGateway peers;
    InstanceGateway instances;
    CallerHandler callers;
    PeerHandler peerHandler;
    std::function<void(const std::string &, const std::string &)> snapshotReceived;
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
    bool asking = false;
    bool lost = false;
    bool draining = false;
    unsigned ticks = 0;
};

Relay::Relay(asio::io_context &context, RelaySettings settings, EventLog &log, Callbacks callbacks)
    : d(std::make_unique<Private>(context, std::move(settings), log, std::move(callbacks)))
{
}

Relay::~Relay() = default;

void Relay::start()
{
    const RelaySettings &settings = d->parts.settings;
    d->callerServer.listen(settings.callers);
    d->peerServer.listen(settings.peers);
    d->readinessServer.listen(settings.readiness);
    if (settings.metrics.port() != 0) {
        d->metricsServer.listen(settings.metrics);
    }
    d->wakeTimer.start();
    d->tickTimer.start();
    d->parts.log.write(EventNumber::NodeStarted,
                       {settings.node, "0", settings.service.value(), settings.domain.value(), text(settings.peers), "relay"});
}

bool Relay::applyRoutes(RouteTable table)
{
    const std::uint64_t inForce = configurationVersion();
    if (d->parts.routes && table.version() <= inForce) {
        if (table.version() < inForce) {
            d->parts.log.write(EventNumber::OlderConfigurationIgnored, {std::to_string(table.version()), std::to_string(inForce)});
        }
        return false;
    }
    d->parts.log.write(EventNumber::ConfigurationInForce,
                       {std::to_string(table.version()), std::to_string(table.routes().size()) + " routes"});
    d->parts.routes = std::make_shared<const RouteTable>(std::move(table));
    return true;
}

std::uint64_t Relay::configurationVersion() const
{
    return d->parts.version();
}

void Relay::putInstance(Instance instance)
{
    d->parts.log.write(EventNumber::InstanceListed,
                       {instance.id, instance.service.value(), instance.address, instance.draining ? "draining" : "ready"});
    d->parts.directory.put(std::move(instance));
}

void Relay::removeInstance(const std::string &id)
{
    d->parts.log.write(EventNumber::InstanceRemoved, {id});
    d->parts.directory.remove(id);
    if (d->parts.directory.find(id) == nullptr) {
        d->parts.placement.forget(id);
    }
}

void Relay::replaceInstances(std::vector<Instance> instances)
{
    d->parts.log.write(EventNumber::InstancesRead, {std::to_string(instances.size())});
    d->parts.directory.replaceAll(std::move(instances));
}

void Relay::sourceLost(const std::string &reason, TimePoint lastAnswer)
{
    if (!std::exchange(d->lost, true)) {
        d->parts.log.write(EventNumber::SourceLost, {reason});
        d->parts.directory.sourceLost(lastAnswer);
    }
}

void Relay::sourceRestored()
{
    if (std::exchange(d->lost, false)) {
        d->parts.log.write(EventNumber::SourceRestored, {});
        d->parts.directory.sourceRestored();
    }
}

void Relay::askForSnapshot(const std::string &peerAddress)
{
    d->askForSnapshot(peerAddress);
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

std::size_t Relay::openRequests() const
{
    return d->callers.openCount() + d->serving.openCount();
}

std::vector<Instance> Relay::instances() const
{
    return d->parts.directory.all();
}

std::string Relay::metricsText() const
{
    return d->parts.metrics.text();
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
