#pragma once

#include "core/base/ids.h"
#include "core/base/requestkey.h"

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string_view>

namespace wisteriafork {

// 64-bit xxHash of a text. Equal on all nodes, so it may be used in decisions that nodes must agree on.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

// 128-bit hash of several parts. The length of each part is hashed too, so that ("ab", "c") and ("a", "bc") differ.
RequestKey hashParts(std::span<const std::string_view> parts);
inline RequestKey hashParts(std::initializer_list<std::string_view> parts)
{
    return hashParts(std::span(parts.begin(), parts.size()));
}

// Weight of a member for a key in rendezvous hashing. The member with the greatest weight ranks first; equal weights are ordered by name.
std::uint64_t rendezvousWeight(const RequestKey &key, const NodeId &member);

// True if the first member ranks before the second for the key.
bool outranks(const RequestKey &key, const NodeId &first, const NodeId &second);

} // namespace wisteriafork
