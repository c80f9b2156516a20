#pragma once

#include "core/ownership/claimmessages.h"
#include "core/ownership/memberid.h"

#include <tuple>
#include <vector>

namespace wisteriafork {

// Asks a witness never again to acknowledge a claim of the target.
struct Fence
{
    MemberId sender;
    MemberId target;
    // Incarnation of the witness that the target's term names.
    Incarnation witness = 0;

    auto fields()
    {
        return std::tie(sender, target, witness);
    }
    auto fields() const
    {
        return std::tie(sender, target, witness);
    }
};

// The witness has excluded the target and returns all keys that the target claimed with it.
struct FenceAcknowledged
{
    MemberId sender;
    MemberId target;
    MemberId witness;
    std::vector<ClaimEntry> claims;

    auto fields()
    {
        return std::tie(sender, target, witness, claims);
    }
    auto fields() const
    {
        return std::tie(sender, target, witness, claims);
    }
};

// The witness does not fence: the sender is itself fenced, or the witness has another incarnation than the one asked.
struct FenceRefused
{
    MemberId sender;
    MemberId target;
    MemberId witness;
    bool senderFenced = false;

    auto fields()
    {
        return std::tie(sender, target, witness, senderFenced);
    }
    auto fields() const
    {
        return std::tie(sender, target, witness, senderFenced);
    }
};

} // namespace wisteriafork
