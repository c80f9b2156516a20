#pragma once

#include "core/relay/instance.h"
#include "core/relay/routetable.h"
#include "core/workspace/keyfreshness.h"
#include "core/workspace/workspacetable.h"
#include "net/peersender.h"
#include "net/requestsender.h"
#include "net/serverexchange.h"
#include "relay/changestext.h"
#include "relay/relayobserver.h"
#include "relay/relaysettings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wisteriafork {

class EventLog;
struct RelayParts;

// The decisions of one node and its request handlers, without listeners, connections and timers. `Relay` runs it in a process, the fleet
// simulation runs it in virtual time. Everything runs on the thread that runs the context.
class RelayNode
{
public:
    // Connects the node to the component that reads the published state, and to the reports.
    struct Callbacks
    {
        // Returns all known published state, encoded for the other nodes of this deployment.
        std::function<std::string()> snapshot;
        // Called with the snapshot of another node when it arrives.
        std::function<void(const std::string &peerAddress, const std::string &snapshot)> onSnapshotReceived;
        // Called with the request of another node for published changes; `respond` is called once with the response, possibly later. May be
        // null if the deployment has no such requests.
        std::function<void(const ChangesText &request, std::function<void(ChangesText response)> respond)> onChangesRequested = nullptr;
        // Called with the revisions that another node adds to its messages; may be null.
        std::function<void(const std::string &peerAddress, const std::string &revisions)> onRevisionsSeen = nullptr;
        // Notified about the requests of callers; may be null.
        RelayObserver *observer = nullptr;
        // Decides whether the configuration is recent enough for requests with keys; null if the deployment does not ask for that.
        const KeyFreshness *keyFreshness = nullptr;
    };

    // `server` sends to the local backend server, `peers` to other nodes. All arguments passed by reference must outlive the object.
    RelayNode(asio::io_context &context, RelaySettings settings, const Clock &clock, EventLog &log, Callbacks callbacks,
              RequestSender &server, PeerSender &peers);
    ~RelayNode();

    // Handler for the requests of callers and of the local backend server.
    ServerHandler &callerHandler();
    // Handler for the requests of other nodes.
    ServerHandler &peerHandler();
    // Handles due time-outs, hedged requests and queued requests. Call every 20 ms.
    void pollRequests();
    // Updates the measurements, and sends reports on crash suspects to other nodes. Call every 100 ms.
    void tick();

    // Applies a configuration. False if its version is not newer than the one in force; it is then ignored. `workspaces` is null if callers
    // need no keys.
    bool applyRoutes(RouteTable table, std::shared_ptr<const WorkspaceTable> workspaces = nullptr);
    // Version of the configuration in force, 0 if there is none.
    std::uint64_t configurationVersion() const;
    // Adds an instance, or replaces the one with the same id.
    void putInstance(Instance instance);
    void removeInstance(const std::string &id);
    // Replaces the whole list of instances.
    void replaceInstances(std::vector<Instance> instances);
    // The list of instances has become unreadable; the last successful read was at `lastAnswer`. Repeated calls do nothing.
    void onInstanceSourceLost(const std::string &reason, TimePoint lastAnswer);
    // The list of instances can be read again.
    void onInstanceSourceRestored();
    // Holds removals of instances back for this time, because another node has noticed an outage of the list.
    void holdRemovals(Duration time);
    // Time for which removals are still held back after an outage of the list.
    Duration removalHoldTime() const;

    // Requests the snapshot of another node; it arrives through `onSnapshotReceived`. The node also does so by itself when another one has
    // a newer configuration in force. Ignored while a request is pending, because every response of a newer node would cause another one.
    void requestSnapshot(const std::string &peerAddress);

    // Asks another node for published changes. The handler is called once with its response, or with nothing if there is none.
    void requestChanges(const std::string &peerAddress, ChangesText request, std::function<void(std::optional<ChangesText>)> handler);
    // Sets the text with the revisions of the published state that this node adds to its messages to other nodes; none while it is empty.
    void setPublishedRevisions(std::string revisions);

    // The process ends soon: refuses the requests that wait, here or at other nodes, and that may last beyond `RelayParts::stopDeadline`,
    // as not executed. Call every 100 ms from about a second before that time.
    void refuseWaitingRequests();
    // The process ends now: responds to each request that entered here, with what is known of its execution. Returns their number.
    std::size_t answerOpenRequests();

    // True if no request that entered here and none on the local backend server is open.
    bool isIdle() const;
    // Number of requests that entered here, plus those queued for or running on the local backend server.
    std::size_t openRequestCount() const;
    // All listed instances of all services.
    std::vector<Instance> instances() const;
    // Counters and histograms in the text exposition format of Prometheus.
    std::string metricsText() const;

    // Shared state of the request handlers.
    RelayParts &parts();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace wisteriafork
