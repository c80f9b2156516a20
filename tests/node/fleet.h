#pragma once

#include "core/base/manualclock.h"
#include "core/node/nodecore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wisteriafork::test {

// What a caller got for one attempt.
struct CallerResult
{
    bool answered = false;
    bool replayed = false;
    std::optional<Refusal> refusal;
};

// A few nodes with fake backend servers on a virtual network with a fixed delay. Every execution on a backend server is kept as the
// independent record.
class Fleet
{
public:
    struct Options
    {
        Configuration configuration;
        std::vector<MemberInfo> members;
        Duration linkDelay = std::chrono::milliseconds(1);
        Duration serviceTime = std::chrono::milliseconds(10);
        std::uint64_t seed = 1;
        std::function<void(NodeOptions &)> adjust;
    };

    explicit Fleet(Options options);
    ~Fleet();

    // Sends a request of a caller to a node; the result is kept under the returned number.
    std::size_t send(const NodeId &node, const std::string &service, const std::string &operation, const std::string &identity);
    const CallerResult &result(std::size_t number) const;
    void run(Duration time);

    // Publishes a host list with the given members of the service to all running nodes after `lag`.
    void publishHostList(const std::string &service, std::vector<MemberInfo> members, Duration lag = {});
    void crashServer(const NodeId &node);
    void restartServer(const NodeId &node);
    void kill(const NodeId &node);
    void cut(const NodeId &first, const NodeId &second);
    void heal();
    void handle(const NodeId &node, const Event &event);

    // Executions by request identity, and starts by node with their times.
    const std::map<std::string, int> &executions() const;
    std::optional<TimePoint> lastStart(const NodeId &node) const;
    bool drained(const NodeId &node) const;
    TimePoint now() const;
    NodeCore &core(const NodeId &node);

private:
    struct Host;
    struct Origin
    {
        NodeId peer;
        CallId peerCall = 0;
        std::size_t callerNumber = 0;
    };

    void schedule(Duration delay, std::function<void()> action);
    void perform(Host &host, const Action &action);
    void on(Host &host, const RunLocal &action);
    void on(Host &host, const ForwardCall &action);
    void on(Host &host, const RespondRefused &action);
    void on(Host &host, const RelayAnswer &action);
    void on(Host &host, const RespondStored &action);
    void on(Host &host, const CancelForward &action);
    void on(Host &host, const SendPeerMessage &action);
    void on(Host &host, const ScheduleTick &action);
    void on(Host &host, const DrainComplete &action);
    template <typename T>
    void on(Host &, const T &)
    {
    }
    void answer(Host &host, CallId id, const LoadReport &load, bool replayed);
    void tick(const NodeId &node);
    bool connected(const NodeId &first, const NodeId &second) const;
    Host *running(const NodeId &node);

    Options m_options;
    ManualClock m_clock;
    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::map<NodeId, std::unique_ptr<Host>> m_hosts;
    std::map<std::string, std::uint64_t> m_listVersions;
    std::set<std::pair<NodeId, NodeId>> m_cuts;
    std::vector<CallerResult> m_results;
    std::map<std::string, int> m_executions;
};

// A service "books" with a non-idempotent booking and an idempotent read, and a service "shop" that only reads.
Configuration testConfiguration();
std::vector<MemberInfo> testMembers(const std::string &service, int count);

} // namespace wisteriafork::test
