#pragma once

#include "core/base/memberinfo.h"

#include <cstdint>
#include <vector>

namespace wisteriafork {

// The platform's list of live and leaving hosts. Versions are totally ordered; the list lags behind the real state.
struct HostList
{
    std::uint64_t version = 0;
    std::vector<MemberInfo> members;

    friend bool operator==(const HostList &, const HostList &) = default;
};

} // namespace wisteriafork
