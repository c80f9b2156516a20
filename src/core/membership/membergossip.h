#pragma once

#include "core/membership/membernotice.h"

#include <tuple>
#include <vector>

namespace wisteriafork {

// New notices, pushed to a few peers as soon as they are known.
struct MemberGossip
{
    NodeId sender;
    Incarnation incarnation = 0;
    std::vector<MemberNotice> notices;

    auto fields()
    {
        return std::tie(sender, incarnation, notices);
    }
    auto fields() const
    {
        return std::tie(sender, incarnation, notices);
    }
};

} // namespace wisteriafork
