#pragma once

#include "core/base/manualclock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace wisteriafork::lab {

// Runs events in the order of virtual time; events of the same time run in the order in which they were added.
class EventQueue
{
public:
    using Handler = std::function<void()>;

    const Clock &clock() const
    {
        return m_clock;
    }

    TimePoint now() const
    {
        return m_clock.now();
    }

    // Runs the handler after the delay.
    void after(Duration delay, Handler handler);

    // Runs all events up to the time, and sets the clock to it.
    void runUntil(TimePoint end);

    std::uint64_t eventsRun() const
    {
        return m_eventsRun;
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t sequence = 0;
        Handler handler;
    };
    struct Later
    {
        bool operator()(const Event &first, const Event &second) const
        {
            return first.time != second.time ? first.time > second.time : first.sequence > second.sequence;
        }
    };

    ManualClock m_clock;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_eventsRun = 0;
};

} // namespace wisteriafork::lab
