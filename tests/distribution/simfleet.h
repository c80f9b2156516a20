#pragma once

#include "distribution/simnode.h"
#include "distribution/simoptions.h"
#include "distribution/simplatform.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace wisteriafork {

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
    void setJitter(Duration jitter);
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
    // Reads that the configuration service refused, since it had too many in the same second.
    std::uint64_t refusedReads() const;
    std::size_t watches() const;
    bool connected(const SimNode &a, const SimNode &b) const;
    std::string sliceText(std::size_t service, const std::string &extra) const;
    static ServiceId serviceId(std::size_t service);
    // Delivers platform values that are newer than what the watches gave.
    void checkWatches();
    // Single reads by kind of key and by what the reader is to the service.
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
    // One function for each kind of event and of output; one long function takes the analyser of the linter minutes.
    void receive(SimNode &node, const Event &event, const Tick &tick);
    void receive(SimNode &node, const Event &event, const Unreachable &unreachable);
    void receive(SimNode &node, const Event &event, const Read &read);
    void receive(SimNode &node, const Event &event, const Delivered &delivered);
    void receive(SimNode &node, const Event &event, const MembershipMessage &message);
    void receive(SimNode &node, const Event &event, const DistributionMessage &message);
    void drain(SimNode &node);
    void output(SimNode &node, DistributionOutput &output);
    void act(SimNode &node, SendDistributionMessage &send);
    void act(SimNode &node, const ReadValue &read);
    void act(SimNode &node, const StartValueWatch &watch);
    void act(SimNode &node, const StopValueWatch &stop);
    void act(SimNode &node, const HostListChanged &changed);
    void act(SimNode &node, const HostListDropped &dropped);
    void act(SimNode &node, const HostsVersionReached &reached);
    void act(SimNode &node, ValueHeldBack &held);
    void act(SimNode &node, const VersionConflict &conflict);
    void act(SimNode &node, ConfigurationChanged &changed);
    void act(SimNode &node, const BecameReady &ready);
    template <typename Message>
    void transmit(SimNode &from, const std::string &address, Message message);
    static std::string readKind(const SimNode &node, const std::string &key);
    bool admitRead();
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
    std::uint64_t m_refusedReads = 0;
    std::uint64_t m_readSecond = 0;
    std::uint64_t m_readsInSecond = 0;
};

} // namespace wisteriafork
