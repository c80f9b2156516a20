#include "net/lazytimer.h"

namespace wisteriafork {

void LazyTimer::setHandler(std::weak_ptr<void> owner, std::function<void()> expired)
{
    m_owner = std::move(owner);
    m_expired = std::move(expired);
}

void LazyTimer::expireAfter(std::chrono::steady_clock::duration time)
{
    m_deadline = std::chrono::steady_clock::now() + time;
    if (m_deadline < m_startedFor) {
        start();
    }
}

void LazyTimer::clear()
{
    m_deadline = TimePoint::max();
}

void LazyTimer::cancel()
{
    m_deadline = TimePoint::max();
    m_startedFor = TimePoint::max();
    ++m_starts;
    m_timer.cancel();
}

void LazyTimer::start()
{
    m_startedFor = m_deadline;
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([this, start = ++m_starts, weakOwner = m_owner](const ErrorCode &) {
        const std::shared_ptr<void> owner = weakOwner.lock();
        if (owner && start == m_starts) {
            timerEnded();
        }
    });
}

void LazyTimer::timerEnded()
{
    m_startedFor = TimePoint::max();
    if (m_deadline == TimePoint::max()) {
        return;
    }
    if (m_deadline > std::chrono::steady_clock::now()) {
        start();
        return;
    }
    m_deadline = TimePoint::max();
    m_expired();
}

} // namespace wisteriafork
