#pragma once

#include "core/base/clock.h"
#include "core/base/requestkey.h"
#include "core/ownership/memberid.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace wisteriafork {

// A key and the time for which it must still be remembered, measured from the sending of the message.
struct ClaimEntry
{
    RequestKey key;
    Duration remaining{0};

    auto fields()
    {
        return std::tie(key, remaining);
    }
    auto fields() const
    {
        return std::tie(key, remaining);
    }
};

// Asks a witness to record that the owner may run the keys. Without entries it only asks whether the witness still serves the owner.
struct Claim
{
    MemberId owner;
    // Incarnation of the witness that the term names; a restarted witness has lost its claims and refuses.
    Incarnation witness = 0;
    std::uint64_t term = 0;
    // Returned in the answer, so that the owner knows when the answered message was sent.
    std::uint64_t sequence = 0;
    std::vector<ClaimEntry> entries;

    auto fields()
    {
        return std::tie(owner, witness, term, sequence, entries);
    }
    auto fields() const
    {
        return std::tie(owner, witness, term, sequence, entries);
    }
};

struct ClaimAcknowledged
{
    MemberId owner;
    MemberId witness;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    std::vector<RequestKey> keys;

    auto fields()
    {
        return std::tie(owner, witness, term, sequence, keys);
    }
    auto fields() const
    {
        return std::tie(owner, witness, term, sequence, keys);
    }
};

struct ClaimRefused
{
    MemberId owner;
    MemberId witness;
    std::uint64_t term = 0;
    // True if the witness has fenced the owner; false if it does not know the term.
    bool fenced = false;

    auto fields()
    {
        return std::tie(owner, witness, term, fenced);
    }
    auto fields() const
    {
        return std::tie(owner, witness, term, fenced);
    }
};

} // namespace wisteriafork
