#pragma once

#include "core/base/ids.h"

#include <compare>
#include <tuple>

namespace wisteriafork {

// One incarnation of an instance. Two incarnations of the same instance share a name and a rank, but no memory.
struct MemberId
{
    NodeId name;
    Incarnation incarnation = 0;

    auto fields()
    {
        return std::tie(name, incarnation);
    }
    auto fields() const
    {
        return std::tie(name, incarnation);
    }
    friend bool operator==(const MemberId &, const MemberId &) = default;
    // By incarnation first, which is cheaper to compare than the name and mostly differs.
    friend std::strong_ordering operator<=>(const MemberId &first, const MemberId &second)
    {
        if (first.incarnation != second.incarnation) {
            return first.incarnation <=> second.incarnation;
        }
        return first.name <=> second.name;
    }
};

} // namespace wisteriafork
