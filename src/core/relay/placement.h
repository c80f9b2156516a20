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
    // Penalty of an instance in another failure domain, as a share of the target latency, because traffic between failure domains is
    // expensive. For the shortest target latency (300 ms) it is less than two round trips to another failure domain take at most (20 ms).
    double otherDomainPenaltyShare = 0.04;
    // Share of its slots that an instance can use during its warm-up, when requests take about twice as long.
    double warmUpSlotShare = 0.5;
    // Penalty of an instance whose calls all fail, as a multiple of the target latency.
    double failurePenaltyFactor = 4.0;
    // Share of failed calls, above that of the best instance, that has no penalty. Failures of the services behind affect all instances
    // alike.
    double toleratedFailureShare = 0.15;
    // Share of the target latency up to which a measured latency has no penalty. Instances differ in speed, which matters only when
    // responses may be late.
    double toleratedLatencyShare = 0.5;
    // Greatest random deviation of an estimated wait, as a share of it. It keeps nodes with the same reports from choosing the same
    // instance.
    double waitJitterShare = 0.2;
    // Maximum number of instances of the own failure domain, and of the others, that are compared for one call.
    std::size_t candidatesPerDomain = 4;
    // Time in which the weight of a measured latency or failure decays by a factor of e, so that an avoided instance is tried again.
    Duration measurementDecayTime = std::chrono::milliseconds(3000);
    // Time for which an instance is avoided after its node reported that it shuts down. A stopped process starts again within
    // seconds, and a premature attempt costs only a round trip.
    Duration leavingReportLifetime = std::chrono::milliseconds(1000);
    // Backoff after a failed connection to the node of an instance. It doubles with each further failure up to the maximum.
    Duration firstUnreachablePause = std::chrono::milliseconds(200);
    Duration maximumUnreachablePause = std::chrono::milliseconds(1600);
};

// Outcome of a call, as far as it concerns the instance.
enum class PlacementOutcome : std::uint8_t {
    Answered,
    // The instance failed the call.
    Failed,
    // The node beside the instance refused the call, for load or because it cannot run it now.
    Refused,
    // The node beside the instance cannot be reached, or the connection to it broke.
    Unreachable,
    // The call was cancelled before its outcome was known; it does not affect later choices.
    Abandoned,
};

// Load balancer: chooses the instance for a call by its measured latency, reported queue and failures, and prefers the own failure domain.
// It avoids instances that are slow, full, failing or unreachable as long as others of their service are better. Not thread safe.
class Placement
{
public:
    Placement(const PlacementOptions &options, DomainId ownDomain, const Clock &clock, RandomEngine &random);

    // Instance with the lowest expected time; null if all are draining or excluded. `excluded` holds instance ids, `targetLatency` is that
    // of the route.
    const Instance *choose(std::span<const Instance> instances, std::span<const std::string> excluded, const std::string &route,
                           Duration targetLatency);
    // Records that a call was sent to the instance; `onRequestEnded` follows for each.
    void onRequestSent(const std::string &instance);
    // Records the outcome of a call and the time that it took, which counts only for an answered call.
    void onRequestEnded(const std::string &instance, const std::string &route, PlacementOutcome outcome, Duration elapsed);
    // Records the report that came with a response or a refusal of the instance.
    void recordReport(const std::string &instance, const ServingReport &report);
    // Drops the records of an instance. Call when it is no longer listed.
    void forgetInstance(const std::string &instance);

    // Recent share of failed calls of an instance, 0 to 1.
    double failureShare(const std::string &instance) const;

private:
    // Moving average of the response time of an instance for one route.
    struct Latency
    {
        double seconds = 0.0;
        TimePoint lastUpdate;
    };

    struct State
    {
        // Calls of this node that have not ended.
        unsigned inFlightCalls = 0;
        // Calls of other nodes that ran or waited at the time of the last report.
        unsigned otherNodeCalls = 0;
        ServingReport report;
        TimePoint lastReportTime;
        std::unordered_map<std::string, Latency> latencyByRoute;
        // Moving average of the share of failed calls, 0 to 1.
        double failureShare = 0.0;
        TimePoint lastFailureUpdate;
        // Pauses without a call that reached the node in between.
        unsigned consecutivePauses = 0;
        TimePoint pausedUntil{};
    };

    // Expected wait of a call with the penalties of the options, in seconds. `lowestFailureShare` is that of the best candidate; `noise` is
    // a random factor of the wait.
    double costSeconds(const Instance &instance, const std::string &route, Duration targetLatency, double lowestFailureShare,
                       double noise) const;
    // Expected time in the queue of the instance, by the last report and the calls of this node.
    double expectedWaitSeconds(const Instance &instance, const State &state) const;
    // Remaining weight of a measurement of the given time: 1 for a new one, less with age.
    double decayFactor(TimePoint lastUpdate) const;

    const PlacementOptions m_options;
    const DomainId m_ownDomain;
    const Clock &m_clock;
    RandomEngine &m_random;
    std::unordered_map<std::string, State> m_states;
};

} // namespace wisteriafork
