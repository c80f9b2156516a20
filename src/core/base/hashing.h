#pragma once

#include "core/base/requestkey.h"

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string_view>

namespace wisteriafork {

// 64-bit xxHash of a text. It is equal on all nodes, so nodes can use it for decisions that they must agree on.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

// 128-bit xxHash of several parts. The length of each part is hashed too, so that ("ab", "c") and ("a", "bc") have different hashes.
RequestKey hashParts(std::span<const std::string_view> parts);
inline RequestKey hashParts(std::initializer_list<std::string_view> parts)
{
    return hashParts(std::span(parts.begin(), parts.size()));
}

} // namespace wisteriafork
