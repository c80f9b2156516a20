#include "net/lazytimer.h"

namespace wisteriafork {

void LazyTimer::setHandler(std::weak_ptr<void> owner, std::function<void()> handler)
{
    m_owner = std::move(owner);
    m_handler = std::move(handler);
}

void LazyTimer::expireAfter(std::chrono::steady_clock::duration delay)
{
    m_deadline = std::chrono::steady_clock::now() + delay;
    if (m_deadline < m_timerExpiry) {
        startTimer();
    }
}

void LazyTimer::clearDeadline()
{
    m_deadline = TimePoint::max();
}

void LazyTimer::cancel()
{
    m_deadline = TimePoint::max();
    m_timerExpiry = TimePoint::max();
    ++m_startCount;
    m_timer.cancel();
}

void LazyTimer::startTimer()
{
    m_timerExpiry = m_deadline;
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([this, start = ++m_startCount, weakOwner = m_owner](const ErrorCode &) {
        const std::shared_ptr<void> owner = weakOwner.lock();
        if (owner && start == m_startCount) {
            onTimerExpired();
        }
    });
}

void LazyTimer::onTimerExpired()
{
    m_timerExpiry = TimePoint::max();
    if (m_deadline == TimePoint::max()) {
        return;
    }
    if (m_deadline > std::chrono::steady_clock::now()) {
        startTimer();
        return;
    }
    m_deadline = TimePoint::max();
    m_handler();
}

} // namespace wisteriafork
