#pragma once

#include "core/base/ids.h"

#include <cstdint>
#include <tuple>

namespace wisteriafork {

// Version of one value that an index names.
struct IndexEntry
{
    ServiceId service;
    std::uint64_t version = 0;
    // Hash of the value's text; 0 in the `hosts` index, which gives none.
    std::uint64_t hash = 0;

    auto fields()
    {
        return std::tie(service, version, hash);
    }
    auto fields() const
    {
        return std::tie(service, version, hash);
    }

    friend bool operator==(const IndexEntry &, const IndexEntry &) = default;
};

} // namespace wisteriafork
