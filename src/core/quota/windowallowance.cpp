#include "core/quota/windowallowance.h"

#include <algorithm>

namespace wisteriafork {

WindowAllowance::WindowAllowance(std::size_t limit, Duration window, TimePoint start) : m_limit(limit), m_window(window), m_start(start)
{
}

void WindowAllowance::setLimit(std::size_t limit)
{
    m_limit = limit;
}

unsigned WindowAllowance::take(unsigned wanted, TimePoint now)
{
    forgetBefore(now);
    if (now - m_start < m_window || m_grantedCount >= m_limit) {
        return 0;
    }
    const auto taken = static_cast<unsigned>(std::min<std::size_t>(wanted, m_limit - m_grantedCount));
    if (taken > 0) {
        m_granted.push_back({.time = now, .count = taken});
        m_grantedCount += taken;
    }
    return taken;
}

Duration WindowAllowance::timeUntilNext(TimePoint now)
{
    forgetBefore(now);
    if (now - m_start < m_window) {
        return m_start + m_window - now;
    }
    if (m_grantedCount < m_limit) {
        return Duration(0);
    }
    return m_granted.empty() ? m_window : Duration(m_granted.front().time + m_window - now);
}

void WindowAllowance::forgetBefore(TimePoint now)
{
    while (!m_granted.empty() && now - m_granted.front().time >= m_window) {
        m_grantedCount -= m_granted.front().count;
        m_granted.pop_front();
    }
}

} // namespace wisteriafork
