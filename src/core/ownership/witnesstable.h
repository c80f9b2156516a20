#pragma once

#include "core/base/clock.h"
#include "core/ownership/claimmessages.h"
#include "core/ownership/expiryqueue.h"
#include "core/ownership/joinmessages.h"

#include <cstddef>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

enum class ClaimVerdict : std::uint8_t {
    Acknowledged,
    // The witness has fenced the owner.
    Fenced,
    // The witness does not serve this term, for example because it has restarted.
    UnknownTerm,
    // The bound on records is reached; nothing is answered, so that the owner tries its other witness.
    Full,
};

// Claims that this member keeps as a witness of other owners.
class WitnessTable
{
public:
    WitnessTable(MemberId self, std::size_t maximumRecords);

    // Serves the terms that name this incarnation as a witness. Called when a join is acknowledged.
    void accept(const MemberId &owner, const std::vector<WitnessTerm> &terms);
    ClaimVerdict claim(const MemberId &from, const Claim &message, TimePoint now);
    // Acknowledges no claim of the owner from now on and returns the keys that it claimed.
    std::vector<ClaimEntry> fence(const MemberId &owner, TimePoint now);
    bool fenced(const MemberId &owner) const;
    void expire(TimePoint now);
    std::size_t size() const;

private:
    struct Owner
    {
        std::set<std::uint64_t> terms;
        bool fenced = false;
        std::unordered_map<RequestKey, TimePoint> claims;
    };
    struct Slot
    {
        MemberId owner;
        RequestKey key;
    };

    MemberId m_self;
    std::size_t m_maximumRecords;
    std::size_t m_size = 0;
    std::map<MemberId, Owner> m_owners;
    ExpiryQueue<Slot> m_expiry;
};

} // namespace wisteriafork
