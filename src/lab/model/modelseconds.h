#pragma once

#include "core/base/clock.h"

namespace wisteriafork::lab {

inline double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace wisteriafork::lab
