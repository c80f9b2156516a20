#pragma once

#include "core/base/manualclock.h"
#include "core/distribution/distribution.h"
#include "core/membership/membership.h"
#include "distribution/simplatform.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace wisteriafork {

// A fleet and its network.
struct SimOptions
{
    std::size_t services = 2;
    std::size_t instances = 4;
    std::size_t domains = 2;
    // Services that each service calls: the next ones.
    std::size_t calls = 1;
    std::size_t sliceBytes = 200;
    std::size_t seeds = 2;
    Duration localDelay = std::chrono::milliseconds(1);
    Duration remoteDelay = std::chrono::milliseconds(5);
    // Greatest random addition to the delay; reorders messages.
    Duration jitter = std::chrono::milliseconds(2);
    double loss = 0;
    // Share of value replies that arrive damaged.
    double damage = 0;
    std::uint64_t seed = 1;
    MembershipOptions membership{};
    DistributionOptions distribution{};
};

// Sent and received control traffic of a node.
struct SimTraffic
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

struct SimNode
{
    MemberInfo info;
    std::size_t service = 0;
    ManualClock clock;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<Distribution> distribution;
    bool alive = false;
    // A dead host does not even refuse connections.
    bool hostDown = false;
    bool paused = false;
    TimePoint pausedAt{};
    std::uint32_t life = 0;
    SimTraffic traffic;
    std::map<std::string, std::uint64_t> watches;
    ConfigurationChanged inForce;
    std::vector<ValueHeldBack> heldBack;
    std::vector<VersionConflict> conflicts;
    TimePoint readyAt{};
    // Version that was in force when the node became ready, and the time of the last change.
    std::uint64_t readyVersion = 0;
    TimePoint changedAt{};
};

// Many nodes in one process in virtual time, each with its own clock, with a network and a configuration service that fail on demand.
class SimFleet
{
public:
    static constexpr std::size_t OverheadPerMessage = 100;

    explicit SimFleet(SimOptions options);

    // Starts a node with a new incarnation and no memory.
    void start(std::size_t node);
    void startAll();
    // Ends the process, or the whole host.
    void kill(std::size_t node, bool host = false);
    void pause(std::size_t node);
    void resume(std::size_t node);
    // Cuts all links between nodes of different groups.
    void partition(std::function<int(const SimNode &)> groupOf);
    void heal();
    void setLoss(double loss, double damage);
    // Publishes the host list of a service with the nodes that `listed` accepts.
    void publishList(std::size_t service, const std::function<bool(const SimNode &)> &listed);
    void publishLists();
    void publishSlice(std::size_t service, const std::string &extra = {});
    void run(Duration time);
    // Runs until the condition holds, checked every 10 ms. Returns false if it does not within the time.
    bool runUntil(const std::function<bool()> &condition, Duration most);

    std::vector<SimNode> &nodes();
    SimPlatform &platform();
    TimePoint now() const;
    std::uint64_t reads() const;
    std::size_t watches() const;
    bool connected(const SimNode &a, const SimNode &b) const;
    std::string sliceText(std::size_t service, const std::string &extra) const;
    static ServiceId serviceId(std::size_t service);
    // Delivers platform values that are newer than what the watches gave.
    void checkWatches();
    // Single reads by kind of key.
    std::map<std::string, std::uint64_t> readsOf;
    // Calls after each event on a node.
    std::function<void(SimNode &)> observer;

private:
    struct Tick
    {
        std::uint32_t life = 0;
    };
    struct Unreachable
    {
        std::uint32_t peer = 0;
    };
    struct Read
    {
        std::uint32_t life = 0;
        std::string key;
    };
    struct Delivered
    {
        std::uint32_t life = 0;
        std::string key;
        std::shared_ptr<const std::string> text;
    };
    struct Event
    {
        std::uint32_t node = 0;
        std::uint32_t from = 0;
        std::variant<Tick, Unreachable, Read, Delivered, MembershipMessage, DistributionMessage> what;
    };

    void schedule(Duration delay, Event event);
    void process(Event &event);
    void apply(SimNode &node, Event &event);
    void drain(SimNode &node);
    void output(SimNode &node, DistributionOutput &output);
    template <typename Message>
    void transmit(SimNode &from, const std::string &address, Message message);
    void startWatch(SimNode &node, const std::string &key, std::uint64_t after);
    void damage(DistributionMessage &message);
    Duration delayBetween(const SimNode &a, const SimNode &b);
    std::uint32_t indexOf(const SimNode &node) const;
    static std::string addressOf(std::size_t node);
    static std::size_t nodeAt(const std::string &address);

    SimOptions m_options;
    SimPlatform m_platform;
    RandomEngine m_random;
    std::vector<SimNode> m_nodes;
    std::function<int(const SimNode &)> m_groupOf;
    // Events by millisecond, as a ring.
    std::vector<std::vector<Event>> m_wheel;
    std::uint64_t m_millisecond = 0;
    std::vector<std::vector<Event>> m_backlog;
    std::vector<std::uint32_t> m_watchers;
    std::uint64_t m_reads = 0;
};

} // namespace wisteriafork
