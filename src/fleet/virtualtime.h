#pragma once

#include "core/base/manualclock.h"
#include "net/asio.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace wisteriafork::fleet {

// Event loop of the simulation. Its clock stands still while an event runs and then jumps to the time of the next one. Work that the nodes
// post to the context during an event runs right after that event, at the same time.
class VirtualTime
{
public:
    const Clock &clock() const
    {
        return m_clock;
    }

    TimePoint now() const
    {
        return m_clock.now();
    }

    // Context that the nodes post their work to.
    asio::io_context &context()
    {
        return m_context;
    }

    // Time since the start of the simulation.
    Duration elapsed() const
    {
        return m_clock.now() - m_start;
    }

    // Calls the action once, after this delay.
    void scheduleAfter(Duration delay, std::function<void()> action);
    // Calls the action at this interval, for the first time after one interval.
    void scheduleEvery(Duration interval, const std::function<void()> &action);
    // Runs the events of this span of time and advances the clock by it. Later events stay scheduled.
    void runFor(Duration time);

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t sequenceNumber = 0;
        std::function<void()> action;

        // The queue returns the greatest event first: the earliest one, and among events of the same time the one scheduled first.
        friend bool operator<(const Event &left, const Event &right)
        {
            return left.time != right.time ? left.time > right.time : left.sequenceNumber > right.sequenceNumber;
        }
    };

    ManualClock m_clock;
    const TimePoint m_start = m_clock.now();
    asio::io_context m_context{1};
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastSequenceNumber = 0;
};

} // namespace wisteriafork::fleet
