#include "core/crashguard/trialserver.h"

#include "core/base/hashing.h"
#include "core/relay/instance.h"

namespace wisteriafork {

const Instance *trialServer(std::span<const Instance> instances, const RequestKey &fingerprint)
{
    const Instance *chosen = nullptr;
    std::uint64_t lowestRank = 0;
    for (const Instance &instance : instances) {
        const std::uint64_t rank = hash64(instance.id, fingerprint.low);
        if (!instance.draining && (chosen == nullptr || rank < lowestRank)) {
            chosen = &instance;
            lowestRank = rank;
        }
    }
    return chosen;
}

} // namespace wisteriafork
