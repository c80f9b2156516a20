#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/relay/pressurecontroller.h"
#include "core/relay/servingreport.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

struct ServingQueueOptions
{
    // Share of the slots that is used. Some backend servers slow down when they are nearly full, and a new connection may occupy a slot.
    double usableSlotShare = 0.94;
    // Maximum expected wait of a new caller request, as a share of the target latency. A request that would wait longer is refused on
    // arrival, unless it has priority 0, instead of after a long wait: a caller that is refused within an eighth of the target latency
    // still has time to retry.
    double maximumWaitShare = 0.25;
    // Allowed mean wait, as a share of the target latency. It is small, because a request may need a chain of several consecutive calls.
    double allowedMeanWaitShare = 0.05;
    // Slots of the backend server until its entry in the instance list is read.
    unsigned defaultSlots = 8;
    PressureOptions pressure;
};

// A request for the local backend server.
struct ServingRequest
{
    CallId id = 0;
    std::string route;
    // Whether it is a call that a backend server makes for an admitted request, rather than a request of a caller.
    bool isInner = false;
    // Priority of the original request of the caller; 0 is the most urgent.
    unsigned priority = 0;
    // Workspace of the original request; empty if there is none.
    std::string workspace;
    // Time by which the response must be complete.
    TimePoint deadline;
    Duration targetLatency{0};
};

// What to do with a request now.
enum class ServingDecision : std::uint8_t {
    // Send it to the backend server.
    Start,
    // Keep it; a later `poll` returns the final decision.
    Wait,
    // Refuse it, because it would wait too long.
    RefuseOverload,
    // Refuse it, because it cannot be answered before its deadline.
    RefuseLate,
};

// Priority queue with a concurrency limit for the requests of the local backend server, so that the own queue of the backend server stays
// empty. Requests start by priority of the original request, inner calls before new caller requests of the same priority, then fairly among
// workspaces: one that sends many times its usual waits for itself, and the others get what they ask for up to an equal share. Requests of
// one workspace, and those without any, start in order of arrival. Offer each request once and finish each started request once. Not thread
// safe.
class ServingQueue
{
public:
    // The final decision on a waiting request: `Start` or `RefuseLate`.
    struct Change
    {
        CallId id = 0;
        ServingDecision decision = ServingDecision::Start;
    };

    ServingQueue(const ServingQueueOptions &options, const Clock &clock);

    // Sets the number of requests that the backend server can run at the same time.
    void setSlots(unsigned slots);
    // Sets the time that work takes on the host at this moment, in percent of the usual time. Waits are expected to be longer or shorter
    // accordingly.
    void setSlowdown(unsigned percent);
    // Decides on a new request. `id` must not be in use.
    ServingDecision offer(const ServingRequest &request);
    // Ends a started request. `completed` is true if the backend server answered it; only then its time counts for the holding times. An
    // unknown id is ignored.
    void finish(CallId id, bool completed);
    // Removes a waiting request. Returns false if it is not waiting.
    bool withdraw(CallId id);
    // Removes and returns the waiting requests that start or are refused now. Call after `finish` and on each tick.
    std::vector<Change> poll();
    // Updates the pressure from the waits since the last call. Call every 100 ms.
    void tick();

    // Recent mean time for which a request of the route occupies a slot; zero if unknown.
    Duration holdingTime(const std::string &route) const;
    // Current load of the queue. `configurationVersion` and `leaving` are not set.
    ServingReport report() const;
    // Longest wait of a started request since the last call of this function, for logs.
    Duration takeLongestWait();

private:
    struct Waiting
    {
        ServingRequest request;
        TimePoint arrivalTime;
        // Position in the order of starts of its rank.
        double startTag = 0.0;
    };

    // Start-time fair queueing among the workspaces of one rank, in seconds of work.
    struct Fairness
    {
        // Tag of the request that started last.
        double virtualTime = 0.0;
        // Tag at which the next request of a workspace begins.
        std::unordered_map<std::string, double> nextTagByWorkspace;
    };

    struct Running
    {
        std::string route;
        TimePoint startTime;
    };

    // Position in the order of starts; the lowest rank starts first.
    using Rank = unsigned;

    static Rank rankOf(const ServingRequest &request);
    bool hasFreeSlot() const;
    // Adds a request to those that wait, in the order of their starts.
    void enqueue(Rank rank, const ServingRequest &request);
    void start(const ServingRequest &request, TimePoint arrivalTime);
    // Ratio of a wait to the allowed mean wait of the request.
    double waitRatio(const ServingRequest &request, Duration wait) const;
    // Estimated wait of a new request of the rank.
    Duration expectedWait(Rank rank, const ServingRequest &request) const;
    // Tag of a new request in the order of its rank.
    double startTagOf(Rank rank, const ServingRequest &request) const;
    // Whether a request that starts after `wait` would miss its deadline.
    bool isTooLate(const ServingRequest &request, Duration wait) const;

    const ServingQueueOptions m_options;
    const Clock &m_clock;
    unsigned m_concurrencyLimit = 1;
    // In the order of their tags.
    std::map<Rank, std::list<Waiting>> m_waitingByRank;
    std::map<Rank, Fairness> m_fairnessByRank;
    std::unordered_map<CallId, Rank> m_rankById;
    std::unordered_map<CallId, Running> m_runningById;
    // Sum of the expected holding times of the waiting requests of each rank.
    std::map<Rank, double> m_waitingSecondsByRank;
    // Moving averages of the holding time.
    std::unordered_map<std::string, double> m_holdingSecondsByRoute;
    PressureController m_pressureController;
    // Sum and number of the wait ratios of the requests that started or became too late since the last update of the pressure.
    double m_waitRatioSum = 0.0;
    unsigned m_waitRatioCount = 0;
    Duration m_longestWait{0};
    double m_meanHoldingSeconds = 0.0;
    // Moving average of the slowdown in percent, which the holding times contain, and the present slowdown as a multiple of it.
    double m_meanSlowdownPercent = 0.0;
    double m_relativeSlowdown = 1.0;
};

} // namespace wisteriafork
