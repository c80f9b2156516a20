#include "core/membership/viewfreshness.h"

#include <algorithm>

namespace wisteriafork {

ViewFreshness::ViewFreshness(Duration pauseThreshold, std::size_t answers, bool detectPause)
    : m_pauseThreshold(pauseThreshold), m_answersNeeded(answers), m_detectPause(detectPause)
{
}

std::optional<Duration> ViewFreshness::noteTick(TimePoint now)
{
    const std::optional<TimePoint> last = m_lastTick;
    m_lastTick = now;
    if (!m_detectPause || !last || now - *last <= m_pauseThreshold) {
        return std::nullopt;
    }
    m_fresh = false;
    m_confirmed = false;
    m_answered.clear();
    m_reportedVersion = 0;
    return now - *last;
}

bool ViewFreshness::isPauseLikely(TimePoint now) const
{
    return m_detectPause && m_lastTick && now - *m_lastTick > m_pauseThreshold;
}

void ViewFreshness::noteAnswer(const NodeId &peer, std::uint64_t hostsVersion)
{
    if (m_fresh) {
        return;
    }
    m_reportedVersion = std::max(m_reportedVersion, hostsVersion);
    if (std::find(m_answered.begin(), m_answered.end(), peer) == m_answered.end()) {
        m_answered.push_back(peer);
    }
}

void ViewFreshness::noteConfirmed()
{
    m_confirmed = true;
}

void ViewFreshness::setHostsVersion(std::uint64_t version)
{
    m_hostsVersion = std::max(m_hostsVersion, version);
}

bool ViewFreshness::becameFresh(std::size_t peers)
{
    if (m_fresh || m_hostsVersion < m_reportedVersion) {
        return false;
    }
    // A node without peers has only the platform to go by.
    m_fresh = peers == 0 ? m_confirmed : m_answered.size() >= std::min(peers, m_answersNeeded);
    return m_fresh;
}

bool ViewFreshness::isFresh() const
{
    return m_fresh;
}

} // namespace wisteriafork
