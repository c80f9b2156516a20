#pragma once

#include <chrono>

namespace wisteriafork {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

// Source of monotonic time. The core reads the time only from a clock, so that tests and the experiment tool can run many nodes in virtual
// time, each with its own clock.
class Clock
{
public:
    virtual ~Clock() = default;

    // Current monotonic time of this node. It keeps advancing while the process is paused.
    virtual TimePoint now() const = 0;
};

} // namespace wisteriafork
