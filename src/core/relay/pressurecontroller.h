#pragma once

#include "core/base/clock.h"

namespace wisteriafork {

struct PressureOptions
{
    // Waiting time in the queue that is allowed to last; a tenth of the shortest target latency of inner calls (300 ms).
    Duration targetWait = std::chrono::milliseconds(30);
    // Waiting time above the target at which the pressure rises at its full speed.
    Duration fullScale = std::chrono::milliseconds(120);
    // Greatest rise and fall in one update of 100 ms. Load that is shed at the entry reaches the deepest service after about 300 ms, so a
    // full swing must take several times that.
    double rise = 0.08;
    double fall = 0.02;
};

// Share of the requests of callers that has to be refused at their entry so that the queue of an instance stays short. It integrates the
// waiting time above its target, for a load that lasts longer than the queue can absorb. Not thread safe.
class PressureController
{
public:
    explicit PressureController(const PressureOptions &options);

    // Takes the greatest waiting time since the last update. Call every 100 ms.
    void update(Duration wait);

    // 0 to 1.
    double pressure() const
    {
        return m_pressure;
    }

private:
    const PressureOptions m_options;
    double m_pressure = 0.0;
};

} // namespace wisteriafork
