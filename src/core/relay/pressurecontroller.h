#pragma once

#include "core/base/clock.h"

namespace wisteriafork {

struct PressureOptions
{
    // Waiting time, in parts of what is allowed, above which the pressure rises at its full speed.
    double fullScale = 4.0;
    // Greatest rise and fall in one update of 100 ms. Load that is shed at the entry reaches the deepest service after about 300 ms, so a
    // full swing must take several times that.
    double rise = 0.08;
    double fall = 0.025;
};

// Share of the requests of callers that has to be refused at their entry so that the queue of an instance stays short. It integrates the
// waiting time above what is allowed, for a load that lasts longer than the queue can absorb. Not thread safe.
class PressureController
{
public:
    explicit PressureController(const PressureOptions &options);

    // Takes the mean waiting time since the last update in parts of what is allowed. Call every 100 ms.
    void update(double relativeWait);

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
