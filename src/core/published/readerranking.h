#pragma once

#include <string>
#include <vector>

namespace wisteriafork {

// Node that may read the source for others: the node beside a listed instance.
struct ReaderCandidate
{
    // Id of the instance beside the node.
    std::string id;
    std::string peerAddress;

    friend bool operator==(const ReaderCandidate &, const ReaderCandidate &) = default;
};

// Order in which the nodes of a failure domain read the source: each node computes it alone, and nodes with the same list of instances
// agree. A node that joins or leaves changes the place of the others by at most one. Returns the addresses, each once.
std::vector<std::string> rankReaders(const std::vector<ReaderCandidate> &candidates);

} // namespace wisteriafork
