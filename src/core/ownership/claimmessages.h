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

// Asks a witness to record that the owner may run the keys. Without keys it only asks whether the witness still serves the owner. The
// sender's name is known from the transport. The incarnation of the witness is not named: a restarted witness does not know the term.
struct Claim
{
    Incarnation owner = 0;
    std::uint64_t term = 0;
    // Unique among the claims of the incarnation; the answer names it, so that the owner knows which keys were recorded and when they were
    // sent.
    std::uint64_t sequence = 0;
    // Time for which the keys must still be remembered, rounded up and measured from the sending of the message.
    std::chrono::seconds remaining{0};
    std::vector<RequestKey> keys;

    auto fields()
    {
        return std::tie(owner, term, sequence, remaining, keys);
    }
    auto fields() const
    {
        return std::tie(owner, term, sequence, remaining, keys);
    }
};

// All keys of the claim with this sequence number are recorded.
struct ClaimAcknowledged
{
    Incarnation owner = 0;
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(owner, sequence);
    }
    auto fields() const
    {
        return std::tie(owner, sequence);
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
