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
    // Seed of all random numbers of the simulation.
    std::uint64_t seed = 1;
    // Hosts of each of the three services; half of them in each failure domain.
    unsigned hostsPerService = 4;
    // Phases of a simulation, in this order. Load without faults:
    Duration baselinePhase = std::chrono::seconds(3);
    // Load with faults:
    Duration faultPhase = std::chrono::seconds(10);
    // Load after the end of all faults:
    Duration recoveryPhase = std::chrono::seconds(8);
    // No new load:
    Duration idlePhase = std::chrono::seconds(4);
    CallerOptions callers;
    // Faults to inject. If empty, random faults are drawn, of a random number between the two limits.
    std::vector<Fault> faults = {};
    unsigned minFaults = 2;
    unsigned maxFaults = 6;
};

// Simulates a fleet of three services that call each other in a chain, under random load and with injected faults. One object runs one
// simulation; the same options give the same one.
class Fleet
{
public:
    // The stream receives the logs of all nodes and must outlive the object.
    Fleet(const FleetOptions &options, std::ostream &logText);
    ~Fleet();

    // Runs the whole simulation. Call once.
    void run();

    // What callers and backend servers saw.
    const History &history() const
    {
        return m_history;
    }

    // The faults that were injected.
    const std::vector<Fault> &faults() const
    {
        return m_faults;
    }

    // Peer addresses of the running nodes that still have open requests.
    std::vector<std::string> nodesWithOpenRequests() const;
    // Peer addresses of the running nodes that do not have the newest configuration in force.
    std::vector<std::string> nodesWithOldConfiguration() const;
    // Start of the load, one second after that of the nodes.
    TimePoint loadStart() const
    {
        return m_loadStart;
    }

    // End of the fault phase.
    TimePoint recoveryStart() const
    {
        return m_recoveryStart;
    }

    std::size_t hostCount() const
    {
        return m_hosts.size();
    }

private:
    // Random faults that start and end within the fault phase.
    std::vector<Fault> drawFaults();
    void startFault(const Fault &fault);
    void endFault(const Fault &fault);
    // Call after the backend server has stopped. Removes its instance from the published list when its registration expires, and starts the
    // backend server as a new instance after the down time.
    void scheduleServerRestart(Host &host, Duration downTime);
    // Starts the backend server as a new instance and publishes it.
    void startServer(Host &host);
    // Drains the instance and starts a new one, unless the instance is down or draining already.
    void replaceInstance(Host &host);
    // Sets whether the node is cut off from the published instances and configuration. The node notices the loss after a timeout, and the
    // return at once.
    void setCutOff(Host &host, bool cutOff);
    // Publishes a new version of the configuration.
    void publishConfiguration();
    // Applies the change on each node that can read it, after the publication delay of its host.
    void publishToNodes(const std::function<void(Host &)> &change);
    // Reads all published instances and the configuration into the node, unless it is cut off.
    void readPublishedState(Host &host);
    void applyConfiguration(Host &host, std::uint64_t version);
    // Half of the hosts, from the one with this index on.
    std::vector<Host *> halfOfFleet(unsigned firstHost);
    // The backend servers that the fault affects.
    std::vector<BackendServer *> affectedServers(const Fault &fault);
    void setServerFaults(const Fault &fault, const BackendServerFaults &serverFaults);

    const FleetOptions m_options;
    VirtualTime m_time;
    RandomEngine m_random;
    History m_history;
    Network m_network;
    // Declared before the hosts, so that it outlives them: nodes that are destroyed with open requests may respond to them.
    std::unique_ptr<Callers> m_callers;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<Fault> m_faults;
    // Published instances by name, and the version of the published configuration.
    std::map<std::string, Instance> m_publishedInstances;
    std::uint64_t m_configurationVersion = 1;
    // Number of the last registration of an instance; part of its name, and the revision of its entry.
    std::uint64_t m_lastRegistration = 0;
    unsigned m_crashingRequests = 0;
    TimePoint m_loadStart{};
    TimePoint m_recoveryStart{};
};

} // namespace wisteriafork::fleet
