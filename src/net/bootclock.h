#pragma once

#include "core/base/clock.h"

#include <ctime>

namespace wisteriafork {

// Clock that also counts the time for which the host is suspended, which the steady clock of the host does not. Its times must not be
// compared with those of another clock.
class BootClock : public Clock
{
public:
    TimePoint now() const override
    {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

} // namespace wisteriafork
