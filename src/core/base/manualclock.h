#pragma once

#include "core/base/clock.h"

namespace wisteriafork {

// Clock that is advanced by its owner. Provides virtual time in tests, benchmarks and the experiment tool.
class ManualClock : public Clock
{
public:
    // Starts 24 hours after the epoch, so that the subtraction of a timeout does not underflow.
    ManualClock() = default;
    explicit ManualClock(TimePoint start) : m_now(start)
    {
    }

    TimePoint now() const override
    {
        return m_now;
    }

    void advance(Duration step)
    {
        m_now += step;
    }

    void set(TimePoint time)
    {
        m_now = time;
    }

private:
    TimePoint m_now{std::chrono::hours(24)};
};

} // namespace wisteriafork
