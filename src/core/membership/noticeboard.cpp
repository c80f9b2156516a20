#include "core/membership/noticeboard.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>

namespace wisteriafork {

namespace {
constexpr std::chrono::seconds SeenTime{60};
constexpr std::size_t MaxSeen = 2048;
constexpr std::size_t MaxFresh = 64;
constexpr std::size_t MaxRiding = 64;
// Accusations of the same subject that are passed on; receivers need two.
constexpr std::size_t MaxAccusers = 3;
// Names the places of the accusers of a subject among what has been seen; the space keeps it apart from names of nodes.
constexpr const char *AccuserPlace = "accuser ";
// A push to 4 peers misses about 2 nodes in 100; with 8 rides in the next seconds the chance to miss one falls below 1 in 100,000.
constexpr unsigned Rides = 8;

std::uint64_t fingerprint(const MemberNotice &notice)
{
    const std::uint64_t subject = hash64(notice.subject.value(), notice.incarnation);
    const std::uint64_t news = (notice.sequence << 2U) ^ static_cast<std::uint64_t>(notice.kind);
    return hash64(notice.accuser.value(), subject ^ (news * 0x9e3779b97f4a7c15ULL));
}

bool supersedes(const MemberNotice &newer, const MemberNotice &older)
{
    return newer.subject == older.subject
        && (newer.incarnation > older.incarnation || (newer.incarnation == older.incarnation && newer.sequence > older.sequence));
}
} // namespace

bool NoticeBoard::note(std::uint64_t key, TimePoint now)
{
    if (!m_seen.insert(key).second) {
        return false;
    }
    m_seenOrder.emplace_back(now, key);
    if (m_seenOrder.size() > MaxSeen) {
        m_seen.erase(m_seenOrder.front().second);
        m_seenOrder.pop_front();
    }
    return true;
}

bool NoticeBoard::add(const MemberNotice &notice, TimePoint now)
{
    if (!note(fingerprint(notice), now)) {
        return false;
    }
    if (notice.kind == NoticeKind::Suspect && !takeAccuserPlace(notice, now)) {
        return true;
    }
    std::erase_if(m_riding, [&](const Riding &riding) { return supersedes(notice, riding.notice); });
    if (notice.kind == NoticeKind::Leaving) {
        m_fresh.push_front(notice);
    } else {
        m_fresh.push_back(notice);
    }
    m_riding.push_back({.notice = notice, .left = Rides});
    if (m_fresh.size() > MaxFresh) {
        m_fresh.pop_back();
    }
    if (m_riding.size() > MaxRiding) {
        m_riding.pop_front();
    }
    return true;
}

bool NoticeBoard::takeAccuserPlace(const MemberNotice &notice, TimePoint now)
{
    for (std::size_t place = 0; place < MaxAccusers; ++place) {
        MemberNotice marker = notice;
        marker.accuser = NodeId(AccuserPlace + std::to_string(place));
        if (note(fingerprint(marker), now)) {
            return true;
        }
    }
    return false;
}

std::vector<MemberNotice> NoticeBoard::takeFresh(std::size_t count)
{
    const auto end = m_fresh.begin() + static_cast<std::ptrdiff_t>(std::min(count, m_fresh.size()));
    std::vector<MemberNotice> taken(m_fresh.begin(), end);
    m_fresh.erase(m_fresh.begin(), end);
    return taken;
}

bool NoticeBoard::hasUrgent() const
{
    return !m_fresh.empty() && m_fresh.front().kind == NoticeKind::Leaving;
}

bool NoticeBoard::hasFresh() const
{
    return !m_fresh.empty();
}

std::vector<MemberNotice> NoticeBoard::ride(std::size_t count)
{
    std::vector<MemberNotice> taken;
    for (std::size_t i = std::min(count, m_riding.size()); i > 0; --i) {
        Riding riding = std::move(m_riding.front());
        m_riding.pop_front();
        taken.push_back(riding.notice);
        if (--riding.left > 0) {
            m_riding.push_back(std::move(riding));
        }
    }
    return taken;
}

void NoticeBoard::expire(TimePoint now)
{
    while (!m_seenOrder.empty() && now - m_seenOrder.front().first >= SeenTime) {
        m_seen.erase(m_seenOrder.front().second);
        m_seenOrder.pop_front();
    }
}

} // namespace wisteriafork
