#include "core/ownership/witnesstable.h"

#include <algorithm>

namespace wisteriafork {

WitnessTable::WitnessTable(MemberId self, std::size_t maximumRecords) : m_self(std::move(self)), m_maximumRecords(maximumRecords)
{
}

void WitnessTable::accept(const MemberId &owner, const std::vector<WitnessTerm> &terms)
{
    for (const WitnessTerm &term : terms) {
        if (std::find(term.witnesses.begin(), term.witnesses.end(), m_self) != term.witnesses.end()) {
            m_owners[owner].terms.insert(term.term);
        }
    }
}

ClaimVerdict WitnessTable::claim(const MemberId &from, const Claim &message, TimePoint now)
{
    const auto found = m_owners.find(from);
    if (found == m_owners.end()) {
        return ClaimVerdict::UnknownTerm;
    }
    Owner &owner = found->second;
    if (owner.fenced) {
        return ClaimVerdict::Fenced;
    }
    if (!owner.terms.contains(message.term)) {
        return ClaimVerdict::UnknownTerm;
    }
    if (m_size + message.keys.size() > m_maximumRecords) {
        return ClaimVerdict::Full;
    }
    const TimePoint expiry = now + message.remaining;
    for (const RequestKey &key : message.keys) {
        const auto [claim, added] = owner.claims.try_emplace(key, expiry);
        m_size += added ? 1 : 0;
        claim->second = std::max(claim->second, expiry);
        m_expiry.push(expiry, {.owner = from, .key = key});
    }
    return ClaimVerdict::Acknowledged;
}

std::vector<ClaimEntry> WitnessTable::fence(const MemberId &owner, TimePoint now)
{
    Owner &entry = m_owners[owner];
    entry.fenced = true;
    std::vector<ClaimEntry> result;
    for (const auto &[key, expiry] : entry.claims) {
        if (expiry > now) {
            result.push_back({.key = key, .remaining = expiry - now});
        }
    }
    return result;
}

bool WitnessTable::fenced(const MemberId &owner) const
{
    const auto found = m_owners.find(owner);
    return found != m_owners.end() && found->second.fenced;
}

void WitnessTable::expire(TimePoint now)
{
    while (const auto slot = m_expiry.take(now)) {
        const auto owner = m_owners.find(slot->owner);
        if (owner == m_owners.end()) {
            continue;
        }
        const auto claim = owner->second.claims.find(slot->key);
        if (claim != owner->second.claims.end() && claim->second <= now) {
            owner->second.claims.erase(claim);
            --m_size;
        }
    }
}

std::size_t WitnessTable::size() const
{
    return m_size;
}

} // namespace wisteriafork
