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
    friend auto operator<=>(const MemberId &, const MemberId &) = default;
};

} // namespace wisteriafork
