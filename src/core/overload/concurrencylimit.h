#pragma once

#include "core/base/clock.h"
#include "core/overload/calloutcome.h"
#include "core/overload/concurrencylimitoptions.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wisteriafork {

// Number of calls that the local backend server should run at the same time, with its slots as the ceiling.
//
// The latency of each operation, without the time spent waiting for calls below, is compared with its floor. When it grows while the limit
// is in use, the limit is halved for one window as a trial: if the latency does not follow, the slowness does not come from concurrency,
// and the limit returns. A backend server that is slow for another reason would otherwise lose throughput on top of being slow.
class ConcurrencyLimit
{
public:
    ConcurrencyLimit(ConcurrencyLimitOptions options, const Clock &clock);

    void setSlots(unsigned slots, std::size_t operations);

    // The server is cold: starts low and doubles while latency allows.
    void restart();

    // A call has ended after `ownTime` in the server. `running` counts the calls that ran, this one included; `started` is its start.
    void finished(std::size_t operation, Duration ownTime, CallOutcome outcome, unsigned running, TimePoint started);

    // Answer of the load endpoint. Followed only where latency confirms it.
    void hint(std::uint32_t running, std::uint32_t slots, unsigned ownRunning);

    unsigned limit() const;

private:
    struct OperationLatency
    {
        // Mean time at low load in seconds; 0 until known.
        double floor = 0.0;
        TimePoint floorSeen;
        double sum = 0.0;
        unsigned count = 0;
    };

    unsigned callsPerWindow() const;
    void closeWindow();
    double closeLatencies();
    void adjust(double ratio, bool inUse);
    void judgeTrial(double ratio);
    void grow();
    // Calls of which the cold share works in the server while the others wait for calls below.
    double coldLimit() const;
    void shrink(double factor);
    void acceptLatencyAsFloor();

    ConcurrencyLimitOptions m_options;
    const Clock &m_clock;
    double m_slots = 1.0;
    double m_limit = 1.0;
    bool m_slowStart = true;
    bool m_configured = false;
    std::vector<OperationLatency> m_operations;

    TimePoint m_windowStart;
    unsigned m_calls = 0;
    unsigned m_callsAtLimit = 0;
    unsigned m_refusals = 0;
    // Time of the window's calls in the server and in their slots, in seconds.
    double m_ownTime = 0.0;
    double m_heldTime = 0.0;
    unsigned m_slowWindows = 0;
    double m_lastRatio = 1.0;

    // A trial runs from its start until enough calls that started after it have ended.
    bool m_trial = false;
    TimePoint m_trialStart;
    double m_limitBeforeTrial = 0.0;
    double m_ratioBeforeTrial = 0.0;
    // After a trial that confirmed contention, smaller steps are taken until this time.
    TimePoint m_contentionKnownUntil;
};

} // namespace wisteriafork
