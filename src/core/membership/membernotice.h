#pragma once

#include "core/base/ids.h"

#include <cstdint>
#include <tuple>

namespace wisteriafork {

enum class NoticeKind : std::uint8_t {
    // The subject says that it runs and takes work.
    Alive = 0,
    // The subject says that it takes no new work.
    Leaving = 1,
    // The accuser got no answer from the subject.
    Suspect = 2,
};

// News of one member that is passed on from node to node. Ordered by incarnation, then by sequence: the subject counts its own sequence up
// for each change and to refute a suspicion; older news never overrides newer.
struct MemberNotice
{
    NodeId subject;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    NoticeKind kind = NoticeKind::Alive;
    // Set for `Suspect` only.
    NodeId accuser;

    auto fields()
    {
        return std::tie(subject, incarnation, sequence, kind, accuser);
    }
    auto fields() const
    {
        return std::tie(subject, incarnation, sequence, kind, accuser);
    }

    friend bool operator==(const MemberNotice &, const MemberNotice &) = default;
};

} // namespace wisteriafork
