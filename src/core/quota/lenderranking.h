#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// Ranks the nodes of the list for each workspace by rendezvous hashing. Nodes with the same list agree, and one that joins or leaves moves
// only the workspaces for which it is among the first. The first node is the lender of the workspace, the second one its standby.
class LenderRanking
{
public:
    struct Places
    {
        std::string lender;
        std::string standby;
    };

    // Sets the addresses of all nodes.
    void setNodes(std::set<std::string> nodes);
    // Empty addresses if there are too few nodes. Valid until the next change of the nodes.
    const Places &placesOf(const std::string &workspace);
    // Place of a node in the ranking of the workspace, from 0; the number of nodes if it is not listed. The cost grows with the nodes.
    std::size_t placeOf(std::string_view node, const std::string &workspace) const;

    std::size_t nodeCount() const
    {
        return m_nodes.size();
    }

    const std::set<std::string> &nodes() const
    {
        return m_nodes;
    }

private:
    std::set<std::string> m_nodes;
    std::unordered_map<std::string, Places> m_placesByWorkspace;
};

} // namespace wisteriafork
