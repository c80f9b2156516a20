#include "relay/relaynode.h"

#include "net/endpoint.h"
#include "relay/callerhandler.h"
#include "relay/instancegateway.h"
#include "relay/peergateway.h"
#include "relay/peerhandler.h"
#include "relay/relayparts.h"
#include "relay/servinggateway.h"
#include "relay/suspectgateway.h"

#include <cstdio>

namespace wisteriafork {

namespace {

constexpr unsigned TicksPerLoadLogLine = 10;

} // namespace

class RelayNode::Impl
{
public:
    Impl(asio::io_context &context, RelaySettings settings, const Clock &clock, EventLog &log, Callbacks callbacks, RequestSender &server,
         PeerSender &peerSender)
        : parts(context, std::move(settings), clock, log)
        , servingGateway(parts, server)
        , peerGateway(parts, peerSender)
        , quotaGateway(parts, peerGateway)
        , suspectGateway(parts, peerGateway)
        , instanceGateway(parts, servingGateway, peerGateway)
        , callerRequestHandler(parts, instanceGateway)
        , peerRequestHandler(parts, servingGateway, quotaGateway, suspectGateway, std::move(callbacks.snapshot),
                             std::move(callbacks.onChangesRequested))
        , onSnapshotReceived(std::move(callbacks.onSnapshotReceived))
    {
        parts.quotas = &quotaGateway;
        parts.onNewerVersionSeen = [this](const std::string &peer) {
            requestSnapshot(peer);
        };
        parts.onRevisionsSeen = std::move(callbacks.onRevisionsSeen);
        parts.observer = callbacks.observer;
        parts.keyFreshness = callbacks.keyFreshness;
    }

    // Logs the load once a second while requests are open.
    void logLoad()
    {
        const ServingReport report = parts.queue.report();
        if (++tickCount % TicksPerLoadLogLine != 0 || (report.runningRequests == 0 && callerRequestHandler.isIdle())) {
            return;
        }
        char pressure[16];
        std::snprintf(pressure, sizeof(pressure), "%.3f", report.pressure);
        parts.log.write(EventNumber::ServingLoad,
                        {std::to_string(report.concurrencyLimit), std::to_string(report.runningRequests),
                         std::to_string(report.queuedRequests),
                         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(parts.queue.takeLongestWait()).count()),
                         pressure, std::to_string(callerRequestHandler.openCallCount())});
    }

    void refuseWaitingRequests()
    {
        const bool isFirst = !std::exchange(parts.refusesWaiting, true);
        const std::size_t queuedHere = servingGateway.refuseWaiting();
        const std::size_t unsent = callerRequestHandler.refuseUnsentCalls();
        if (isFirst) {
            parts.log.write(
                EventNumber::WaitingRequestsRefused,
                {std::to_string(unsent), std::to_string(callerRequestHandler.openCallCount() - unsent), std::to_string(queuedHere)});
        }
        // Repeated, because a request may still be on its way to the node when its withdrawal arrives there.
        const Withdrawal withdrawal{.sender = parts.ownPeerAddress,
                                    .remaining
                                    = std::chrono::duration_cast<std::chrono::microseconds>(parts.stopDeadline - parts.clock.now())};
        for (const std::string &address : callerRequestHandler.peersOfLateCalls()) {
            peerGateway.withdrawRequests(address, withdrawal);
        }
    }

    void requestSnapshot(const std::string &address)
    {
        if (std::exchange(awaitsSnapshot, true)) {
            return;
        }
        peerGateway.fetchSnapshot(address, [this, address](const std::optional<std::string> &text) {
            awaitsSnapshot = false;
            if (text && onSnapshotReceived) {
                onSnapshotReceived(address, *text);
            }
        });
    }

    RelayParts parts;
    ServingGateway servingGateway;
    PeerGateway peerGateway;
    QuotaGateway quotaGateway;
    SuspectGateway suspectGateway;
    InstanceGateway instanceGateway;
    CallerHandler callerRequestHandler;
    PeerHandler peerRequestHandler;
    std::function<void(const std::string &, const std::string &)> onSnapshotReceived;
    bool awaitsSnapshot = false;
    bool instanceSourceLost = false;
    unsigned tickCount = 0;
};

RelayNode::RelayNode(asio::io_context &context, RelaySettings settings, const Clock &clock, EventLog &log, Callbacks callbacks,
                     RequestSender &server, PeerSender &peers)
    : m_impl(std::make_unique<Impl>(context, std::move(settings), clock, log, std::move(callbacks), server, peers))
{
}

RelayNode::~RelayNode() = default;

ServerHandler &RelayNode::callerHandler()
{
    return m_impl->callerRequestHandler;
}

ServerHandler &RelayNode::peerHandler()
{
    return m_impl->peerRequestHandler;
}

void RelayNode::pollRequests()
{
    m_impl->callerRequestHandler.pollCalls();
    m_impl->servingGateway.pollQueue();
    m_impl->quotaGateway.poll();
}

void RelayNode::tick()
{
    m_impl->parts.directory.tick();
    m_impl->parts.retryBudget.setNodeCount(m_impl->parts.directory.size());
    m_impl->servingGateway.tick();
    m_impl->quotaGateway.tick();
    m_impl->suspectGateway.tick();
    m_impl->logLoad();
    if (const Instance *own = m_impl->parts.directory.findByAddress(endpointText(m_impl->parts.settings.serverEndpoint))) {
        m_impl->parts.queue.setSlots(own->slots);
    }
}

bool RelayNode::applyRoutes(RouteTable table, std::shared_ptr<const WorkspaceTable> workspaces)
{
    const std::uint64_t inForce = configurationVersion();
    if (m_impl->parts.routes && table.version() <= inForce) {
        if (table.version() < inForce) {
            m_impl->parts.log.write(EventNumber::OlderConfigurationIgnored, {std::to_string(table.version()), std::to_string(inForce)});
        }
        return false;
    }
    m_impl->parts.log.write(EventNumber::ConfigurationInForce,
                            {std::to_string(table.version()), std::to_string(table.routes().size()) + " routes"});
    std::unordered_set<ServiceId> services;
    for (const Route &route : table.routes()) {
        for (const WeightedService &weighted : route.services) {
            services.insert(weighted.service);
        }
    }
    m_impl->parts.directory.setServices(std::move(services));
    m_impl->parts.routes = std::make_shared<const RouteTable>(std::move(table));
    m_impl->parts.workspaces = std::move(workspaces);
    m_impl->quotaGateway.applyWorkspaces();
    return true;
}

std::uint64_t RelayNode::configurationVersion() const
{
    return m_impl->parts.configurationVersion();
}

void RelayNode::putInstance(Instance instance)
{
    m_impl->parts.log.write(EventNumber::InstanceListed,
                            {instance.id, instance.service.value(), instance.address, instance.draining ? "draining" : "ready"});
    m_impl->parts.directory.insertOrReplace(std::move(instance));
}

void RelayNode::removeInstance(const std::string &id)
{
    m_impl->parts.log.write(EventNumber::InstanceRemoved, {id});
    m_impl->parts.directory.remove(id);
    if (m_impl->parts.directory.find(id) == nullptr) {
        m_impl->parts.placement.forgetInstance(id);
    }
}

void RelayNode::replaceInstances(std::vector<Instance> instances)
{
    m_impl->parts.log.write(EventNumber::InstancesRead, {std::to_string(instances.size())});
    m_impl->parts.directory.replaceAll(std::move(instances));
}

void RelayNode::onInstanceSourceLost(const std::string &reason, TimePoint lastAnswer)
{
    if (!std::exchange(m_impl->instanceSourceLost, true)) {
        m_impl->parts.log.write(EventNumber::SourceLost, {reason});
        m_impl->parts.directory.onSourceLost(lastAnswer);
        m_impl->quotaGateway.onSourceLost(lastAnswer);
    }
}

void RelayNode::onInstanceSourceRestored()
{
    if (std::exchange(m_impl->instanceSourceLost, false)) {
        m_impl->parts.log.write(EventNumber::SourceRestored, {});
        m_impl->parts.directory.onSourceRestored();
        m_impl->quotaGateway.onSourceRestored();
    }
}

void RelayNode::holdRemovals(Duration time)
{
    m_impl->parts.directory.holdRemovals(time);
}

Duration RelayNode::removalHoldTime() const
{
    return m_impl->parts.directory.remainingHoldTime();
}

void RelayNode::requestSnapshot(const std::string &peerAddress)
{
    m_impl->requestSnapshot(peerAddress);
}

void RelayNode::requestChanges(const std::string &peerAddress, ChangesText request, std::function<void(std::optional<ChangesText>)> handler)
{
    m_impl->peerGateway.requestChanges(peerAddress, std::move(request), std::move(handler));
}

void RelayNode::setPublishedRevisions(std::string revisions)
{
    m_impl->parts.publishedRevisions = std::move(revisions);
}

void RelayNode::refuseWaitingRequests()
{
    m_impl->refuseWaitingRequests();
}

std::size_t RelayNode::answerOpenRequests()
{
    return m_impl->callerRequestHandler.answerOpenCalls();
}

bool RelayNode::isIdle() const
{
    return m_impl->callerRequestHandler.isIdle() && m_impl->servingGateway.isIdle();
}

std::size_t RelayNode::openRequestCount() const
{
    return m_impl->callerRequestHandler.openCallCount() + m_impl->servingGateway.openCallCount();
}

std::vector<Instance> RelayNode::instances() const
{
    return m_impl->parts.directory.allInstances();
}

std::string RelayNode::metricsText() const
{
    return m_impl->parts.metrics.text();
}

RelayParts &RelayNode::parts()
{
    return m_impl->parts;
}

} // namespace wisteriafork
