#pragma once

#include "core/base/clock.h"

#include <cstddef>

namespace wisteriafork {

// Bounds of what callers may send on one connection. A member that is zero sets no bound of its own.
struct CallerLimits
{
    // Size of the request line and header fields, and of the body of a request.
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    // Time for which a connection may be idle between two requests.
    Duration idleTime{0};

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

} // namespace wisteriafork
