#pragma once

#include "core/base/clock.h"

namespace wisteriafork {

// A duration as a number of seconds, for estimates and averages.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace wisteriafork
