#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace wisteriafork {

// Version of an index with the hash of its content. Greater versions win; of two contents with the same version the greater hash wins, so
// that all nodes decide alike.
struct VersionStamp
{
    std::uint64_t version = 0;
    std::uint64_t hash = 0;

    auto fields()
    {
        return std::tie(version, hash);
    }
    auto fields() const
    {
        return std::tie(version, hash);
    }

    friend auto operator<=>(const VersionStamp &, const VersionStamp &) = default;
};

} // namespace wisteriafork
