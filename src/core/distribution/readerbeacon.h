#pragma once

#include "core/base/ids.h"

#include <cstdint>
#include <tuple>

namespace wisteriafork {

// Sign of life of a node that watches the configuration service for a failure domain. The reader counts it up; other nodes pass it on.
struct ReaderBeacon
{
    NodeId reader;
    Incarnation incarnation = 0;
    DomainId domain;
    std::uint64_t count = 0;

    auto fields()
    {
        return std::tie(reader, incarnation, domain, count);
    }
    auto fields() const
    {
        return std::tie(reader, incarnation, domain, count);
    }

    friend bool operator==(const ReaderBeacon &, const ReaderBeacon &) = default;
};

} // namespace wisteriafork
