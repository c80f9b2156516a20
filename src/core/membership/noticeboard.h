#pragma once

#include "core/base/clock.h"
#include "core/membership/membernotice.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>
#include <utility>
#include <vector>

namespace wisteriafork {

// Notices that this node passes on: each is pushed once to a few peers and then rides on later messages for a bounded number of times,
// which reaches those whom the push missed. All bounds are fixed, so a flood of notices loses the oldest ones.
class NoticeBoard
{
public:
    // False if the notice was seen lately.
    bool add(const MemberNotice &notice, TimePoint now);
    // Notices to be pushed now, at most `count`.
    std::vector<MemberNotice> takeFresh(std::size_t count);
    bool hasFresh() const;
    // True if a fresh notice says that a member leaves; these come first.
    bool hasUrgent() const;
    // Notices for a message that is sent anyway, at most `count`.
    std::vector<MemberNotice> ride(std::size_t count);
    // Forgets what has been seen for long enough.
    void expire(TimePoint now);

private:
    struct Riding
    {
        MemberNotice notice;
        unsigned left = 0;
    };

    // False if the key was seen lately.
    bool note(std::uint64_t key, TimePoint now);
    // True for the first few accusers of the same subject. Counts also accusers whose notices ride no more: with many lost members at once
    // they leave the riding ones soon.
    bool takeAccuserPlace(const MemberNotice &notice, TimePoint now);

    std::unordered_set<std::uint64_t> m_seen;
    std::deque<std::pair<TimePoint, std::uint64_t>> m_seenOrder;
    std::deque<MemberNotice> m_fresh;
    std::deque<Riding> m_riding;
};

} // namespace wisteriafork
