#pragma once

#include "core/base/clock.h"

namespace wisteriafork {

// Converts a duration to seconds, for estimates and averages.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Converts seconds to a duration; fractions of a nanosecond are dropped.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace wisteriafork
