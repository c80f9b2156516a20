#include "core/ownership/witnesschoice.h"

#include "core/base/hashing.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Lower is better: another failure domain than all in use first.
int domainPenalty(const MemberAddress &candidate, const MemberAddress &owner, const std::vector<const MemberAddress *> &chosen)
{
    const bool sharedWithOther
        = std::any_of(chosen.begin(), chosen.end(), [&candidate](const MemberAddress *other) { return other->domain == candidate.domain; });
    return (candidate.domain == owner.domain ? 2 : 0) + (sharedWithOther ? 1 : 0);
}

} // namespace

std::vector<MemberId> chooseWitnesses(const MemberAddress &owner, std::span<const MemberAddress> candidates)
{
    const RequestKey seed{.high = hash64(owner.id.name.value()), .low = 0};
    std::vector<const MemberAddress *> chosen;
    while (chosen.size() < WitnessCount) {
        const MemberAddress *best = nullptr;
        int bestPenalty = 0;
        for (const MemberAddress &candidate : candidates) {
            const bool used = std::any_of(chosen.begin(), chosen.end(),
                                          [&candidate](const MemberAddress *other) { return other->id.name == candidate.id.name; });
            if (used || candidate.id.name == owner.id.name) {
                continue;
            }
            const int penalty = domainPenalty(candidate, owner, chosen);
            if (best == nullptr || penalty < bestPenalty || (penalty == bestPenalty && outranks(seed, candidate.id.name, best->id.name))) {
                best = &candidate;
                bestPenalty = penalty;
            }
        }
        if (best == nullptr) {
            break;
        }
        chosen.push_back(best);
    }
    std::vector<MemberId> result;
    result.reserve(chosen.size());
    for (const MemberAddress *member : chosen) {
        result.push_back(member->id);
    }
    return result;
}

} // namespace wisteriafork
