#pragma once

#include "core/base/clock.h"
#include "core/base/random.h"
#include "core/relay/instance.h"
#include "core/relay/servingreport.h"

#include <cstdint>
#include <optional>
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
    // The same if the candidates are drawn by what they finish. With more, all nodes would send to the instance that looked best at the
    // time of their reports.
    std::size_t weightedCandidatesPerDomain = 2;
    // Weight of the time that an instance needs for the calls that it has, if its backend server tells its speed. It orders instances with
    // free slots, and is far below the penalty of another failure domain.
    double outstandingWorkShare = 0.02;
    // Time in which the weight of a reported speed decays by a factor of e, in favor of the mean speed: other programs on the host start
    // and stop several times a second.
    Duration speedDecayTime = std::chrono::milliseconds(200);
    // Time in which the weight of a reported load decays by a factor of e in favor of the mean load, in addition to two holding times: the
    // calls of the report have ended by then, and others have come.
    Duration loadDecayTime = std::chrono::milliseconds(100);
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
// It avoids instances that are slow, full, failing or unreachable as long as others of their service are better. If backend servers tell
// their speed, instances with free slots get calls in proportion to what they finish, and an old report counts less than the mean of all:
// many nodes choose by old reports at the same time, and would overrun one instance after the other. Not thread safe.
class Placement
{
public:
    Placement(const PlacementOptions &options, DomainId ownDomain, const Clock &clock, RandomEngine &random);

    // True once backend servers have told their speed; choices then weigh instances by what they finish.
    bool knowsSpeeds() const
    {
        return m_knowsSpeeds;
    }

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
        // Moving averages of `otherNodeCalls` and of the reported slowdown in percent, if the backend server tells it.
        double meanOtherNodeCalls = 0.0;
        double meanSlowdownPercent = 0.0;
        std::unordered_map<std::string, Latency> latencyByRoute;
        // Moving average of the share of failed calls, 0 to 1.
        double failureShare = 0.0;
        TimePoint lastFailureUpdate;
        // Pauses without a call that reached the node in between.
        unsigned consecutivePauses = 0;
        TimePoint pausedUntil{};
    };

    struct Candidates
    {
        std::vector<const Instance *> ownDomain;
        std::vector<const Instance *> otherDomains;
    };

    // Some instances of the own failure domain and of the others that may be chosen, at random.
    Candidates sampleEvenly(std::span<const Instance> instances, std::span<const std::string> excluded) const;
    // The same, with chances in proportion to what the instances finish. The cost does not grow with the instances, unless hardly any of
    // them may be chosen.
    Candidates sampleBySpeed(std::span<const Instance> instances, std::span<const std::string> excluded);
    // Calls that an instance finishes in a second; empty if unknown.
    std::optional<double> callsPerSecond(const Instance &instance) const;
    // Expected wait of a call with the penalties of the options, in seconds. `lowestFailureShare` is that of the best candidate; `noise` is
    // a random factor of the wait.
    double costSeconds(const Instance &instance, const std::string &route, Duration targetLatency, double lowestFailureShare,
                       double noise) const;
    // Expected time in the queue of the instance, by the last report and the calls of this node.
    double expectedWaitSeconds(const Instance &instance, const State &state) const;
    // Time that an instance whose speed is known needs for the calls that it probably has, and one more.
    double outstandingWorkSeconds(const Instance &instance, const State &state) const;
    // Number of calls that an instance probably has.
    double probableCalls(const State &state) const;
    double usableSlots(const Instance &instance, const State &state) const;
    // Mean time for which a call occupies a slot, by the speed that the instance probably has now.
    double probableHoldingSeconds(const State &state) const;
    // Adds the last report to the moving averages; `formerWeight` is what is left of the weight of the report before.
    static void updateMeans(State &state, double formerWeight);
    // Remaining weight of a measurement of the given time: 1 for a new one, less with age.
    double decayFactor(TimePoint lastUpdate) const;

    const PlacementOptions m_options;
    const DomainId m_ownDomain;
    const Clock &m_clock;
    RandomEngine &m_random;
    std::unordered_map<std::string, State> m_states;
    bool m_knowsSpeeds = false;
    // Greatest number of calls that an instance of a service finishes in a second, slowly decaying.
    std::unordered_map<ServiceId, double> m_mostCallsPerSecond;
};

} // namespace wisteriafork
