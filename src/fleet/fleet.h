#pragma once

#include "fleet/callers.h"
#include "fleet/fault.h"

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace wisteriafork::fleet {

struct FleetOptions
{
    std::uint64_t seed = 1;
    // Hosts of each of the three services; half of them in each failure domain.
    unsigned hostsPerService = 4;
    // Phases of a run: calm, with troubles, without them, and without load.
    Duration calm = std::chrono::seconds(3);
    Duration troubled = std::chrono::seconds(10);
    Duration recovery = std::chrono::seconds(8);
    Duration silence = std::chrono::seconds(4);
    CallerOptions callers;
    // Troubles to play; if there are none, they are drawn.
    std::vector<Fault> faults = {};
    unsigned leastFaults = 2;
    unsigned mostFaults = 6;
};

// A fleet of three services that call each other, with callers and troubles drawn from the seed. One object plays one run.
class Fleet
{
public:
    // The stream receives the logs of all nodes and must outlive the object.
    Fleet(const FleetOptions &options, std::ostream &logText);
    ~Fleet();

    // Plays the run.
    void run();

    const History &history() const
    {
        return m_history;
    }

    const std::vector<Fault> &faults() const
    {
        return m_faults;
    }

    // Nodes that still have open requests.
    std::vector<std::string> busyNodes() const;
    // Nodes that do not have the newest configuration in force.
    std::vector<std::string> staleNodes() const;
    // Moment at which the load begins.
    TimePoint loadFrom() const
    {
        return m_loadFrom;
    }

    // Moment from which nothing is disturbed any more.
    TimePoint calmFrom() const
    {
        return m_calmFrom;
    }

    std::size_t size() const
    {
        return m_hosts.size();
    }

private:
    std::vector<Fault> drawFaults();
    void begin(const Fault &fault);
    void end(const Fault &fault);
    void stopServer(Host &host, Duration downTime);
    void startServer(Host &host);
    void replaceInstance(Host &host);
    void cutOff(Host &host, bool cutOff);
    void publishConfiguration();
    void publish(const std::function<void(Host &)> &change);
    // Brings a node up to date that can read what is published.
    void read(Host &host);
    void applyConfiguration(Host &host, std::uint64_t version);
    std::vector<Host *> neighbours(unsigned host);
    // The backend servers that a trouble strikes.
    std::vector<BackendServer *> serversOf(const Fault &fault);
    void setTrouble(const Fault &fault, const BackendTrouble &trouble);

    const FleetOptions m_options;
    VirtualTime m_time;
    RandomEngine m_random;
    History m_history;
    Network m_network;
    // Outlives the hosts: nodes that end with open requests may answer them.
    std::unique_ptr<Callers> m_callers;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<Fault> m_faults;
    // What is published.
    std::map<std::string, Instance> m_list;
    std::uint64_t m_version = 1;
    std::uint64_t m_listed = 0;
    unsigned m_poisons = 0;
    TimePoint m_loadFrom{};
    TimePoint m_calmFrom{};
};

} // namespace wisteriafork::fleet
