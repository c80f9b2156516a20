#pragma once

#include "core/base/clock.h"

#include <cstddef>
#include <deque>

namespace wisteriafork {

// Grants at most a number of requests in any window of a length. Nothing is granted in the first window, because a process that has been
// restarted may have granted everything just before.
class WindowAllowance
{
public:
    // `limit` is the number of requests in any window.
    WindowAllowance(std::size_t limit, Duration window, TimePoint start);

    void setLimit(std::size_t limit);
    // Grants up to `wanted` requests and returns their number.
    unsigned take(unsigned wanted, TimePoint now);
    // Time until another request can be granted; the window if none can ever be.
    Duration timeUntilNext(TimePoint now);

private:
    struct Granted
    {
        TimePoint time;
        unsigned count = 0;
    };

    void forgetBefore(TimePoint now);

    std::size_t m_limit;
    const Duration m_window;
    const TimePoint m_start;
    std::deque<Granted> m_granted;
    std::size_t m_grantedCount = 0;
};

} // namespace wisteriafork
