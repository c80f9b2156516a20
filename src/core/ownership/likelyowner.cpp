#include "core/ownership/likelyowner.h"

#include "core/base/hashing.h"

namespace wisteriafork {

const MemberInfo *likelyOwner(const RequestKey &key, std::span<const MemberInfo> candidates,
                              const std::function<bool(const MemberInfo &)> &gone)
{
    const MemberInfo *best = nullptr;
    for (const MemberInfo &candidate : candidates) {
        if (gone && gone(candidate)) {
            continue;
        }
        if (best == nullptr || outranks(key, candidate.name, best->name)) {
            best = &candidate;
        }
    }
    return best;
}

} // namespace wisteriafork
