#pragma once

#include "core/base/clock.h"

namespace wisteriafork {

// Clock that returns the monotonic time of the host.
class SteadyClock : public Clock
{
public:
    TimePoint now() const override
    {
        return std::chrono::steady_clock::now();
    }
};

} // namespace wisteriafork
