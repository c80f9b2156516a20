#pragma once

#include "core/base/ids.h"

#include <cstdint>

namespace wisteriafork {

// Why an instance was chosen, for the decision log.
enum class RouteReason : std::uint8_t {
    OnlyCandidate,
    LessLoadedOfTwo,
    SpilledOver,
    OtherFailureDomain,
};

struct RouteChoice
{
    NodeId node;
    RouteReason reason = RouteReason::LessLoadedOfTwo;
};

} // namespace wisteriafork
