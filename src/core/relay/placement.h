#pragma once

#include "core/base/clock.h"
#include "core/base/random.h"
#include "core/relay/instance.h"
#include "core/relay/servingreport.h"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

struct PlacementOptions
{
    // Extra waiting time, in parts of the target latency, that a call may take before it leaves its failure domain: bytes between failure
    // domains are expensive. It is less than the round trip to another one takes at most twice (20 ms) for the shortest targets (300 ms).
    double domainCost = 0.04;
    // Part of its slots that an instance can use while it is slow after its start; it then takes about twice as long.
    double coldShare = 0.5;
    // Extra time of an instance whose calls all fail, in parts of the target latency.
    double failureCost = 4.0;
    // Share of failed calls above that of the best instance up to which failures do not count: those that come from the services behind
    // spread over all instances.
    double freeFailures = 0.15;
    // Part of the target latency up to which a measured latency does not count: instances differ in speed, which matters only when answers
    // are at risk of being late.
    double freeLatency = 0.5;
    // Random part of an estimated wait, so that nodes with the same reports do not all choose the same instance.
    double jitter = 0.2;
    // Instances compared for one call within a failure domain; more would not improve the choice.
    std::size_t samples = 4;
    // Time in which a measured latency or failure loses its weight, so that an avoided instance is tried again.
    Duration memory = std::chrono::milliseconds(3000);
    // Time for which a node that said it leaves is not used. Then it is asked again, which costs a round trip if it still leaves: a process
    // that was told to stop starts again within seconds.
    Duration leavingMemory = std::chrono::milliseconds(1000);
    // Pauses after a failed connection to the node of an instance: the first one, doubled each time up to the longest.
    Duration firstPause = std::chrono::milliseconds(200);
    Duration longestPause = std::chrono::milliseconds(1600);
};

// How a call to an instance ended, as far as it says something about the instance.
enum class PlacementOutcome : std::uint8_t {
    Answered,
    // The instance failed the call.
    Failed,
    // The node beside the instance refused it for load or cannot run it now.
    Refused,
    // The node beside the instance cannot be reached, or the connection to it broke.
    Unreachable,
    // Given up by the caller; says nothing.
    Abandoned,
};

// Chooses the instance for a call from measured latency, reported queues and failures; own failure domain first. Serves loads where single
// instances are slow, full, failing or unreachable while others of their service are not. Not thread safe.
class Placement
{
public:
    Placement(const PlacementOptions &options, DomainId ownDomain, const Clock &clock, RandomEngine &random);

    // The best instance that is not excluded; null if there is none. `targetLatency` is that of the route.
    const Instance *choose(std::span<const Instance> instances, std::span<const std::string> excluded, const std::string &route,
                           Duration targetLatency);
    void onRequestSent(const std::string &instance);
    void onRequestEnded(const std::string &instance, const std::string &route, PlacementOutcome outcome, Duration elapsed);
    // A report that came with an answer or refusal.
    void recordReport(const std::string &instance, const ServingReport &report);
    // Forgets instances that are not listed any more.
    void forgetInstance(const std::string &instance);

    // Recent share of failed calls of an instance, 0 to 1.
    double failureShare(const std::string &instance) const;

private:
    struct Latency
    {
        double seconds = 0.0;
        TimePoint updated;
    };

    struct State
    {
        unsigned outstanding = 0;
        // Calls of other nodes that ran or waited at the time of the last report.
        unsigned others = 0;
        ServingReport report;
        TimePoint reported;
        std::unordered_map<std::string, Latency> latencies;
        double failures = 0.0;
        TimePoint failureUpdated;
        unsigned pauses = 0;
        TimePoint pausedUntil{};
    };

    // Expected time of a call in seconds, with the penalties of the options.
    // `leastFailures` is the failure share of the best candidate.
    double cost(const Instance &instance, const std::string &route, Duration targetLatency, double leastFailures, double noise) const;
    double waitAt(const Instance &instance, const State &state) const;
    double weightOf(TimePoint updated) const;

    const PlacementOptions m_options;
    const DomainId m_ownDomain;
    const Clock &m_clock;
    RandomEngine &m_random;
    std::unordered_map<std::string, State> m_states;
};

} // namespace wisteriafork
