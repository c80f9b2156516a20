#pragma once

#include "core/base/ids.h"

#include <cstddef>
#include <span>
#include <string>

namespace wisteriafork {

// One instance of a service, as routing sees it.
struct Candidate
{
    NodeId name;
    Incarnation incarnation = 0;
    DomainId domain;
    std::string peerAddress;
    bool leaving = false;
    bool suspected = false;
    // The host list in force has this incarnation. An instance that is not listed but answers serves reads and gets no new ownership.
    bool listed = true;

    // May be given new work.
    bool usable() const
    {
        return !leaving && !suspected;
    }
};

// The instances of one service. Usable instances come first, those of the own failure domain before the others, so that a choice among them
// costs the same however many there are. Valid until the next non-const call of `Membership`.
struct ServiceView
{
    std::span<const Candidate> all;
    std::size_t usableLocal = 0;
    std::size_t usable = 0;

    std::span<const Candidate> localCandidates() const
    {
        return all.first(usableLocal);
    }
    std::span<const Candidate> remoteCandidates() const
    {
        return all.subspan(usableLocal, usable - usableLocal);
    }
};

} // namespace wisteriafork
