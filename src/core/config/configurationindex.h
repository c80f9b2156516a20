#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace wisteriafork {

// Version and content hash of one published slice.
struct SliceEntry
{
    // Index version with which the content last changed.
    std::uint64_t version = 0;
    // 16 lower-case hex digits of `hash64` over the text of the slice.
    std::string hash;

    friend bool operator==(const SliceEntry &, const SliceEntry &) = default;
};

// The value published under `config/index`.
struct ConfigurationIndex
{
    std::uint64_t version = 0;
    // By service name, and `_common`.
    std::map<std::string, SliceEntry> slices;

    friend bool operator==(const ConfigurationIndex &, const ConfigurationIndex &) = default;
};

} // namespace wisteriafork
