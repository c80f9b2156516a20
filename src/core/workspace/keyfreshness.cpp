#include "core/workspace/keyfreshness.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// A node that has lost the source usually finds another way to it within a second.
constexpr Duration RetryDelay = std::chrono::seconds(1);

} // namespace

KeyFreshness::KeyFreshness(Duration bound, const Clock &clock) : m_bound(bound), m_clock(clock)
{
}

void KeyFreshness::confirm(TimePoint askedAt)
{
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, askedAt) : askedAt;
}

void KeyFreshness::invalidate()
{
    m_confirmedAt.reset();
}

Verdict KeyFreshness::check() const
{
    if (m_confirmedAt && m_clock.now() - *m_confirmedAt <= m_bound) {
        return Admit{};
    }
    return Refuse{.status = 503, .reason = RefusalReason::StaleConfiguration, .event = "stale-configuration", .retryAfter = RetryDelay};
}

} // namespace wisteriafork
