#pragma once

#include "core/base/memberinfo.h"

#include <cstdint>
#include <vector>

namespace wisteriafork {

// The platform's list of live and leaving instances of one service. Versions of a service's list are totally ordered; the list lags behind
// the real state.
struct HostList
{
    ServiceId service;
    std::uint64_t version = 0;
    std::vector<MemberInfo> members;

    friend bool operator==(const HostList &, const HostList &) = default;
};

} // namespace wisteriafork
