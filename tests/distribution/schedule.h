#pragma once

#include "distribution/simfleet.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace wisteriafork {

// One random history of a small fleet: publications, faults and their end. After each event of a node the rules are checked against a
// record of what was published, which the nodes do not see. Each step of the script is one number: its lowest digits select the operation,
// the rest its subject.
class Schedule
{
public:
    Schedule(std::uint64_t seed, const MembershipMechanisms &membership, const DistributionMechanisms &distribution);

    // Runs the script, then ends all faults and checks that the views converge. Returns the first violation; empty if there is none.
    std::string run(const std::vector<std::uint16_t> &script);

private:
    static constexpr std::size_t Services = 2;
    static constexpr std::size_t Instances = 3;
    // What is known of a published index version.
    struct Published
    {
        std::map<ServiceId, std::uint64_t> hashes;
    };
    // What must be true of a node.
    struct Record
    {
        VersionStamp inForce;
        std::vector<Incarnation> incarnations;
        // Versions that live peers have had in force since before this node started, by peer.
        std::map<std::size_t, VersionStamp> floors;
        bool wasReady = false;
        std::uint32_t life = 0;
        bool checkPause = false;
    };
    struct Leaving
    {
        TimePoint since;
        // Nodes that could hear of it all the time.
        std::set<std::size_t> hearers;
    };

    bool isReadyEverywhere();
    void step(std::uint16_t code);
    void publish(std::size_t service, unsigned kind);
    void restart(std::size_t node);
    void kill(std::size_t node, bool host);
    void resume(std::size_t node);
    void partition(unsigned kind);
    void announce(std::size_t node);
    void publishWrongList(std::size_t service, std::size_t dropped);
    void disturb(std::size_t node);
    void recordPublication();
    void check(SimNode &node);
    static std::set<ServiceId> neededBy(const SimNode &node);
    bool canHave(const SimNode &node, const VersionStamp &stamp);
    void checkContent(const SimNode &node);
    void checkReady(const SimNode &node, Record &record);
    void checkMembers(const SimNode &node, Record &record);
    void checkLeaving(const SimNode &node);
    void checkWrongList(const SimNode &node);
    void finish();
    void endFaults();
    bool isSettled();
    void fail(const std::string &what, const SimNode &node);
    std::size_t indexOf(const SimNode &node);

    SimFleet m_fleet;
    std::map<VersionStamp, Published> m_published;
    // Hashes of slices that are invalid or whose text does not have the hash.
    std::set<std::uint64_t> m_badHashes;
    std::vector<Record> m_records;
    std::map<std::size_t, Leaving> m_leaving;
    std::optional<SimPlatform::Values> m_copy;
    // A node that the last list dropped although it runs, and since when nothing disturbed it.
    std::optional<std::pair<std::size_t, TimePoint>> m_wronglyDropped;
    // Greatest version of any published host list; a service that is restored from an old copy starts below it.
    std::uint64_t m_highestList = 1;
    std::string m_violation;
    bool m_partitioned = false;
    bool m_startsReady = false;
};

} // namespace wisteriafork
