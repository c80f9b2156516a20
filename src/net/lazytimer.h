#pragma once

#include "net/asio.h"

#include <chrono>
#include <functional>
#include <memory>

namespace wisteriafork {

// Deadline of a connection. Moving the deadline later costs no timer operation: the timer is started again only when it expires before the
// deadline. Used on one strand.
class LazyTimer
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit LazyTimer(const Strand &strand) : m_timer(strand)
    {
    }

    // Sets the function to call at a deadline. It is called only while the owner of this timer is alive.
    void setHandler(std::weak_ptr<void> owner, std::function<void()> expired);
    // Calls the handler after the time, unless the deadline is changed before.
    void expireAfter(std::chrono::steady_clock::duration time);
    // Forgets the deadline. A running timer expires without effect.
    void clear();
    // Forgets the deadline and ends the running timer.
    void cancel();

private:
    void start();
    void timerEnded();

    Timer m_timer;
    TimePoint m_deadline = TimePoint::max();
    // Time for which the running timer was started; max if none runs.
    TimePoint m_startedFor = TimePoint::max();
    std::weak_ptr<void> m_owner;
    std::function<void()> m_expired;
    // Counts starts, so that the handler of an earlier start is ignored.
    unsigned m_starts = 0;
};

} // namespace wisteriafork
