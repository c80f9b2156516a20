#include "relay/relaynode.h"

#include "net/codec.h"
#include "net/endpoint.h"
#include "relay/callerhandler.h"
#include "relay/instancegateway.h"
#include "relay/peergateway.h"
#include "relay/peerhandler.h"
#include "relay/relayparts.h"
#include "relay/servinggateway.h"

#include <cinttypes>
#include <cstdio>

namespace wisteriafork {

namespace {

constexpr unsigned TicksPerLoadLine = 10;

} // namespace

class RelayNode::Private
{
public:
    Private(asio::io_context &context, RelaySettings settings, const Clock &clock, EventLog &log, Callbacks callbacks,
            RequestSender &server, PeerSender &peerSender)
        : parts(context, std::move(settings), clock, log)
        , serving(parts, server)
        , peers(parts, peerSender)
        , instances(parts, serving, peers)
        , callers(parts, instances)
        , peerHandler(parts, serving, std::move(callbacks.snapshot))
        , snapshotReceived(std::move(callbacks.snapshotReceived))
    {
        parts.ownPeerAddress = endpointText(parts.settings.peerEndpoint);
        parts.newerVersionSeen = [this](const std::string &peer) {
            requestSnapshot(peer);
        };
        parts.observer = callbacks.observer;
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
                logSuspect(report);
            }
        }
    }

    void logSuspect(const SuspectReport &report)
    {
        const EventNumber event = report.state == SuspectState::Banned ? EventNumber::RequestBlocked
            : report.state == SuspectState::Suspected                  ? EventNumber::RequestSuspected
                                                                       : EventNumber::RequestCleared;
        parts.log.decision(event, false, [&] {
            char fingerprint[40];
            std::snprintf(fingerprint, sizeof(fingerprint), "%016" PRIx64 "%016" PRIx64, report.fingerprint.high, report.fingerprint.low);
            return std::vector<std::string>{fingerprint, parts.settings.service.value(), std::to_string(report.crashes.size())};
        });
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
                         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(parts.queue.takeLongestWait()).count()),
                         pressure, std::to_string(callers.openCount())});
    }

    void requestSnapshot(const std::string &address)
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

    RelayParts parts;
    ServingGateway serving;
    PeerGateway peers;
    InstanceGateway instances;
    CallerHandler callers;
    PeerHandler peerHandler;
    std::function<void(const std::string &, const std::string &)> snapshotReceived;
    bool asking = false;
    bool lost = false;
    unsigned ticks = 0;
};

RelayNode::RelayNode(asio::io_context &context, RelaySettings settings, const Clock &clock, EventLog &log, Callbacks callbacks,
                     RequestSender &server, PeerSender &peers)
    : d(std::make_unique<Private>(context, std::move(settings), clock, log, std::move(callbacks), server, peers))
{
}

RelayNode::~RelayNode() = default;

ServerHandler &RelayNode::callerHandler()
{
    return d->callers;
}

ServerHandler &RelayNode::peerHandler()
{
    return d->peerHandler;
}

void RelayNode::pollRequests()
{
    d->callers.wake();
    d->serving.poll();
}

void RelayNode::tick()
{
    d->parts.directory.tick();
    d->serving.tick();
    d->reportSuspects();
    d->logLoad();
    if (const Instance *own = d->parts.directory.findByAddress(endpointText(d->parts.settings.serverEndpoint))) {
        d->parts.queue.setSlots(own->slots);
    }
}

bool RelayNode::applyRoutes(RouteTable table)
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

std::uint64_t RelayNode::configurationVersion() const
{
    return d->parts.version();
}

void RelayNode::putInstance(Instance instance)
{
    d->parts.log.write(EventNumber::InstanceListed,
                       {instance.id, instance.service.value(), instance.address, instance.draining ? "draining" : "ready"});
    d->parts.directory.insertOrReplace(std::move(instance));
}

void RelayNode::removeInstance(const std::string &id)
{
    d->parts.log.write(EventNumber::InstanceRemoved, {id});
    d->parts.directory.remove(id);
    if (d->parts.directory.find(id) == nullptr) {
        d->parts.placement.forgetInstance(id);
    }
}

void RelayNode::replaceInstances(std::vector<Instance> instances)
{
    d->parts.log.write(EventNumber::InstancesRead, {std::to_string(instances.size())});
    d->parts.directory.replaceAll(std::move(instances));
}

void RelayNode::onInstanceSourceLost(const std::string &reason, TimePoint lastAnswer)
{
    if (!std::exchange(d->lost, true)) {
        d->parts.log.write(EventNumber::SourceLost, {reason});
        d->parts.directory.onSourceLost(lastAnswer);
    }
}

void RelayNode::onInstanceSourceRestored()
{
    if (std::exchange(d->lost, false)) {
        d->parts.log.write(EventNumber::SourceRestored, {});
        d->parts.directory.onSourceRestored();
    }
}

void RelayNode::requestSnapshot(const std::string &peerAddress)
{
    d->requestSnapshot(peerAddress);
}

bool RelayNode::isIdle() const
{
    return d->callers.isIdle() && d->serving.isIdle();
}

std::size_t RelayNode::openRequestCount() const
{
    return d->callers.openCount() + d->serving.openCount();
}

std::vector<Instance> RelayNode::instances() const
{
    return d->parts.directory.allInstances();
}

std::string RelayNode::metricsText() const
{
    return d->parts.metrics.text();
}

RelayParts &RelayNode::parts()
{
    return d->parts;
}

} // namespace wisteriafork
