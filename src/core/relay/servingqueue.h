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
    // Part of the slots that is used. Some backend servers slow down when they are nearly full, and a new connection may hold a slot.
    double usedSlots = 0.94;
    // Part of the target latency that a request of a caller may wait before it is refused on arrival; a refusal within an eighth of the
    // target leaves the caller time to come back.
    double waitShare = 0.25;
    // Part of the target latency for which a request may wait on average. A chain makes several calls one after the other, so that each may
    // use only a small part.
    double allowedWait = 0.05;
    // Slots assumed for an instance whose entry was not read.
    unsigned assumedSlots = 8;
    PressureOptions pressure;
};

// A request that is to run on the local backend server.
struct ServingRequest
{
    CallId id = 0;
    std::string route;
    // Made by a backend server for an admitted request.
    bool inner = false;
    // Rank of the caller's request at the top of the chain; 0 is the most urgent.
    unsigned priority = 0;
    TimePoint deadline;
    Duration targetLatency{0};
};

enum class ServingDecision : std::uint8_t {
    Start,
    Wait,
    // Would wait longer than is useful.
    RefuseOverload,
    // Cannot be answered before its deadline.
    RefuseLate,
};

// Decides which requests the local backend server runs, and when, so that the backend server's own queue stays empty: by priority of the
// caller's request, inner calls before new requests of the same priority, then by arrival. Each request is offered once; a waiting one is
// named by a later `poll`. Each started one is finished once. Not thread safe.
class ServingQueue
{
public:
    struct Change
    {
        CallId id = 0;
        ServingDecision decision = ServingDecision::Start;
    };

    ServingQueue(const ServingQueueOptions &options, const Clock &clock);

    void setSlots(unsigned slots);
    ServingDecision offer(const ServingRequest &request);
    // Ends a started request. `completed` is true if the backend server answered it; its time then counts for the estimates.
    void finish(CallId id, bool completed);
    // Ends a waiting request. False if it does not wait.
    bool withdraw(CallId id);
    // Waiting requests that start now or are refused now. Call after `finish` and on each tick.
    std::vector<Change> poll();
    // Updates the pressure. Call every 100 ms.
    void tick();

    // Mean time for which a request of the route occupies a slot; zero if unknown.
    Duration holdingTime(const std::string &route) const;
    ServingReport report() const;
    // Greatest waiting time since the last call, for logs.
    Duration takeLongestWait();

private:
    struct Waiting
    {
        ServingRequest request;
        TimePoint arrived;
    };

    struct Running
    {
        std::string route;
        TimePoint started;
    };

    using Rank = unsigned;

    static Rank rankOf(const ServingRequest &request);
    bool hasFreeSlot() const;
    void start(const ServingRequest &request, TimePoint arrived);
    // Waiting time in parts of what is allowed for the request.
    double relativeWait(const ServingRequest &request, Duration wait) const;
    // Time until a new request of the rank would start.
    Duration expectedWait(Rank rank) const;
    bool isTooLate(const ServingRequest &request, Duration wait) const;

    const ServingQueueOptions m_options;
    const Clock &m_clock;
    unsigned m_limit = 1;
    std::map<Rank, std::list<Waiting>> m_waiting;
    std::unordered_map<CallId, Rank> m_rankOf;
    std::unordered_map<CallId, Running> m_running;
    // Seconds that the waiting requests of each rank will occupy a slot.
    std::map<Rank, double> m_waitingWork;
    std::unordered_map<std::string, double> m_holding;
    PressureController m_pressure;
    // Waiting times of the requests started since the last update of the pressure, each relative to what its route allows.
    double m_relativeWaits = 0.0;
    unsigned m_starts = 0;
    Duration m_greatestWait{0};
    double m_meanHolding = 0.0;
};

} // namespace wisteriafork
