#include "core/membership/probetracker.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

std::uint64_t ProbeTracker::start(const NodeId &to, TimePoint deadline)
{
    m_pending.push_back({.number = m_next, .to = to, .deadline = deadline});
    return m_next++;
}

bool ProbeTracker::isPending(const NodeId &to) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&](const Pending &pending) { return pending.to == to; });
}

std::optional<ProbeTracker::Pending> ProbeTracker::finish(std::uint64_t number)
{
    const auto found = std::find_if(m_pending.begin(), m_pending.end(), [&](const Pending &pending) { return pending.number == number; });
    if (found == m_pending.end()) {
        return std::nullopt;
    }
    Pending pending = std::move(*found);
    m_pending.erase(found);
    return pending;
}

std::vector<ProbeTracker::Pending> ProbeTracker::takeExpired(TimePoint now)
{
    std::vector<Pending> expired;
    while (!m_pending.empty() && m_pending.front().deadline <= now) {
        expired.push_back(std::move(m_pending.front()));
        m_pending.pop_front();
    }
    return expired;
}

void ProbeTracker::drop(const NodeId &to)
{
    std::erase_if(m_pending, [&](const Pending &pending) { return pending.to == to; });
}

void ProbeTracker::clear()
{
    m_pending.clear();
}

std::uint64_t ProbeTracker::nextNumber() const
{
    return m_next;
}

} // namespace wisteriafork
