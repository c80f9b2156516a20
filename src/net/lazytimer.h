#pragma once

#include "net/asio.h"

#include <chrono>
#include <functional>
#include <memory>

namespace wisteriafork {

// Timer for a deadline that is moved often, such as the idle timeout of a connection. Moving the deadline later needs no timer operation:
// when the running timer expires before the deadline, it is started again for the rest. All members are used on one strand.
class LazyTimer
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit LazyTimer(const Strand &strand) : m_timer(strand)
    {
    }

    // Sets the function to call at the deadline. It is called only while the owner of this timer is alive.
    void setHandler(std::weak_ptr<void> owner, std::function<void()> handler);
    // Sets the deadline, replacing an earlier one. The handler is called once when it is reached.
    void expireAfter(std::chrono::steady_clock::duration delay);
    // Removes the deadline without a timer operation; a running timer expires without effect.
    void clearDeadline();
    // Removes the deadline and cancels the running timer.
    void cancel();

private:
    void startTimer();
    void onTimerExpired();

    Timer m_timer;
    TimePoint m_deadline = TimePoint::max();
    // Expiry of the running timer; max if no timer is running.
    TimePoint m_timerExpiry = TimePoint::max();
    std::weak_ptr<void> m_owner;
    std::function<void()> m_handler;
    // Number of timer starts. A completion that belongs to an earlier start is ignored.
    unsigned m_startCount = 0;
};

} // namespace wisteriafork
