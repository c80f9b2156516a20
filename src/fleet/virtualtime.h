#pragma once

#include "core/base/manualclock.h"
#include "net/asio.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace wisteriafork::fleet {

// Time that passes from one event to the next. What the nodes post to the context runs at the moment at which they post it.
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

    asio::io_context &context()
    {
        return m_context;
    }

    // Time since the start of the run.
    Duration elapsed() const
    {
        return m_clock.now() - m_start;
    }

    void after(Duration delay, std::function<void()> action);
    // Calls the action at this interval, for the first time after one interval.
    void every(Duration interval, const std::function<void()> &action);
    void run(Duration time);

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        // The earliest event has the greatest rank; events of one moment keep their order.
        friend bool operator<(const Event &left, const Event &right)
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };

    ManualClock m_clock;
    const TimePoint m_start = m_clock.now();
    asio::io_context m_context{1};
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastOrder = 0;
};

} // namespace wisteriafork::fleet
