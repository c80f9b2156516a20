#pragma once

#include "core/base/clock.h"
#include "core/membership/introduction.h"
#include "core/membership/memberstate.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace wisteriafork {

// Everything known of one member; of its highest incarnation only.
struct MemberRecord
{
    Introduction about;
    // Incarnation that the host list in force has; 0 if it has none.
    Incarnation listedIncarnation = 0;
    bool listedLeaving = false;
    std::uint64_t seenInList = 0;
    TimePoint delistedAt;
    // The member's own sequence, and what it said with it.
    std::uint64_t sequence = 0;
    bool toldLeaving = false;
    // Direct evidence.
    TimePoint lastContact;
    unsigned failures = 0;
    // Hashes of the members that suspect it; more are not needed.
    std::array<std::uint64_t, 4> accusers{};
    std::size_t accuserCount = 0;
    MemberState state = MemberState::Gone;
    // Is in a queue of the prober.
    bool queued = false;

    bool listed() const
    {
        return listedIncarnation == about.incarnation && listedIncarnation != 0;
    }
    bool leaving() const
    {
        return toldLeaving || (listed() && listedLeaving);
    }
};

} // namespace wisteriafork
