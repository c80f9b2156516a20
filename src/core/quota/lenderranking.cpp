#include "core/quota/lenderranking.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

namespace {

// Sorts before that of another node if this node has the better place. The address decides between equal hashes.
std::pair<std::uint64_t, std::string_view> rankOf(std::string_view node, std::string_view workspace)
{
    return {hash64(node, hash64(workspace)), node};
}

} // namespace

void LenderRanking::setNodes(std::set<std::string> nodes)
{
    if (nodes != m_nodes) {
        m_nodes = std::move(nodes);
        m_placesByWorkspace.clear();
    }
}

const LenderRanking::Places &LenderRanking::placesOf(const std::string &workspace)
{
    const auto [known, added] = m_placesByWorkspace.try_emplace(workspace);
    if (added) {
        std::vector<std::pair<std::uint64_t, std::string_view>> ranks;
        ranks.reserve(m_nodes.size());
        for (const std::string &node : m_nodes) {
            ranks.push_back(rankOf(node, workspace));
        }
        const std::size_t places = std::min<std::size_t>(2, ranks.size());
        std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(places), ranks.end());
        known->second.lender = places > 0 ? std::string(ranks[0].second) : std::string();
        known->second.standby = places > 1 ? std::string(ranks[1].second) : std::string();
    }
    return known->second;
}

std::size_t LenderRanking::placeOf(std::string_view node, const std::string &workspace) const
{
    if (!m_nodes.contains(std::string(node))) {
        return m_nodes.size();
    }
    const auto own = rankOf(node, workspace);
    return static_cast<std::size_t>(
        std::ranges::count_if(m_nodes, [&](const std::string &other) { return rankOf(other, workspace) < own; }));
}

} // namespace wisteriafork
