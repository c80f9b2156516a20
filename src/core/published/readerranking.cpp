#include "core/published/readerranking.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <map>

namespace wisteriafork {

std::vector<std::string> rankReaders(const std::vector<ReaderCandidate> &candidates)
{
    std::multimap<std::uint64_t, std::string> byRank;
    for (const ReaderCandidate &candidate : candidates) {
        byRank.emplace(hash64(candidate.id), candidate.peerAddress);
    }
    std::vector<std::string> ranked;
    for (const auto &[rank, address] : byRank) {
        if (std::ranges::find(ranked, address) == ranked.end()) {
            ranked.push_back(address);
        }
    }
    return ranked;
}

} // namespace wisteriafork
