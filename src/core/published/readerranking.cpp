#include "core/published/readerranking.h"

#include "core/base/hashing.h"

#include <map>
#include <string_view>
#include <unordered_set>

namespace wisteriafork {

std::vector<std::string> rankReaders(const std::vector<ReaderCandidate> &candidates)
{
    std::multimap<std::uint64_t, std::string> byRank;
    for (const ReaderCandidate &candidate : candidates) {
        byRank.emplace(hash64(candidate.id), candidate.peerAddress);
    }
    std::vector<std::string> ranked;
    std::unordered_set<std::string_view> added;
    for (const auto &[rank, address] : byRank) {
        if (added.insert(address).second) {
            ranked.push_back(address);
        }
    }
    return ranked;
}

} // namespace wisteriafork
