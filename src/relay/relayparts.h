#pragma once

#include "core/base/random.h"
#include "core/crashguard/crashguard.h"
#include "core/relay/edgeadmission.h"
#include "core/relay/instancedirectory.h"
#include "core/relay/placement.h"
#include "core/relay/retrybudget.h"
#include "core/relay/routeoutcomes.h"
#include "core/relay/routepressure.h"
#include "core/relay/routetable.h"
#include "core/relay/runningrequests.h"
#include "core/relay/servingqueue.h"
#include "core/relay/weightedsplit.h"
#include "core/workspace/keyfreshness.h"
#include "core/workspace/workspacetable.h"
#include "net/asio.h"
#include "net/endpoint.h"
#include "relay/relaylog.h"
#include "relay/relaymetrics.h"
#include "relay/relayobserver.h"
#include "relay/relaysettings.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace wisteriafork {

class QuotaGateway;

// Decision components and tables of one relay, shared by its request handlers. All of them run on the single thread of the relay.
struct RelayParts
{
    RelayParts(asio::io_context &ioContext, RelaySettings relaySettings, const Clock &nodeClock, EventLog &eventLog)
        : context(ioContext)
        , settings(std::move(relaySettings))
        , clock(nodeClock)
        , log(eventLog, clock)
        , random(settings.seed)
        , directory(settings.directory, clock)
        , placement(settings.placement, settings.domain, clock, random)
        , retryBudget(settings.retries, clock)
        , admission(settings.admission, clock)
        , routePressure(clock)
        , runningRequests(clock)
        , queue(settings.serving, clock)
        , ownPeerAddress(endpointText(settings.peerEndpoint))
        , crashGuard({.self = NodeId(settings.node), .incarnation = settings.incarnation}, clock)
    {
    }

    asio::io_context &context;
    const RelaySettings settings;
    const Clock &clock;
    RelayLog log;
    RelayMetrics metrics;
    RandomEngine random;
    // Routes of the configuration in force. Null until the first configuration is known.
    std::shared_ptr<const RouteTable> routes;
    // Workspaces of the configuration in force. Null if callers need no keys.
    std::shared_ptr<const WorkspaceTable> workspaces;
    // Null if a withdrawn key may be accepted until the configuration without it arrives.
    const KeyFreshness *keyFreshness = nullptr;
    InstanceDirectory directory;
    Placement placement;
    RetryBudget retryBudget;
    EdgeAdmission admission;
    RoutePressure routePressure;
    RunningRequests runningRequests;
    ServingQueue queue;
    // Address of this node for other nodes.
    std::string ownPeerAddress;
    CrashGuard crashGuard;
    // Quotas of workspaces; null in tests of single handlers.
    QuotaGateway *quotas = nullptr;
    WeightedSplit split;
    RouteOutcomes routeOutcomes;
    // Notified about the requests of callers; may be null.
    RelayObserver *observer = nullptr;
    // Revisions of the published state that this node knows, for other nodes; empty if the deployment has none.
    std::string publishedRevisions;
    // Called with the revisions that the node at the given address knows; may be null.
    std::function<void(const std::string &peerAddress, const std::string &revisions)> onRevisionsSeen;
    // Nodes that add revisions to their messages. Newer configurations are not fetched from them as a whole.
    std::unordered_set<std::string> peersWithRevisions;
    // Called when the node at the given address has a newer configuration in force.
    std::function<void(const std::string &peerAddress)> onNewerVersionSeen;
    // The process shuts down; the readiness check fails so that callers go elsewhere.
    bool stopping = false;
    // New requests of callers are refused, because they might not finish before the process ends.
    bool refusesCallers = false;
    // Time at which all requests without an answer get one, once the process shuts down. Calls of the local backend server that may last
    // longer are refused with the requests of callers.
    TimePoint stopDeadline = TimePoint::max();
    // Requests that may last beyond `stopDeadline` are neither started nor kept waiting.
    bool refusesWaiting = false;
    // The process shuts down, and other nodes should send no further requests.
    bool leaving = false;

    // False for a request that may last beyond the end of the process: it must not start or wait any longer.
    bool mayStart(TimePoint deadline) const
    {
        return !refusesWaiting || deadline <= stopDeadline;
    }

    // Version of the configuration in force, 0 if there is none.
    std::uint64_t configurationVersion() const
    {
        return routes ? routes->version() : 0;
    }

    // Notes the revisions that the node at `peerAddress` knows; an empty text stands for none.
    void noteRevisions(const std::string &revisions, const std::string &peerAddress)
    {
        if (!revisions.empty() && onRevisionsSeen) {
            peersWithRevisions.insert(peerAddress);
            onRevisionsSeen(peerAddress, revisions);
        }
    }

    // Notes the version that the node at `peerAddress` has in force, and calls `onNewerVersionSeen` if it is newer than the own one.
    void noteVersion(std::uint64_t seen, const std::string &peerAddress) const
    {
        if (seen > configurationVersion() && onNewerVersionSeen && !peersWithRevisions.contains(peerAddress)) {
            onNewerVersionSeen(peerAddress);
        }
    }
};

} // namespace wisteriafork
