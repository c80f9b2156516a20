#pragma once

#include "core/base/clock.h"

namespace wisteriafork {

struct PressureOptions
{
    // Ratio of the mean queue wait to the allowed one from which the pressure rises at full speed.
    double fullSpeedWaitFactor = 4.0;
    // Greatest rise and fall of the pressure in one update. Load that is shed at the entry reaches the deepest service after about 300 ms,
    // so a swing from 0 to 1 must take several times that.
    double maximumRise = 0.08;
    double maximumFall = 0.025;
};

// Integral controller of the pressure: the share of caller requests that nodes must refuse at the entry to keep the queue of an instance
// short. The pressure rises while the queue wait exceeds the allowed one, so it covers overload that lasts longer than the queue can
// absorb. Not thread safe.
class PressureController
{
public:
    explicit PressureController(const PressureOptions &options);

    // `waitRatio` is the ratio of the mean queue wait since the last update to the allowed one; 1 leaves the pressure unchanged. Call every
    // 100 ms.
    void update(double waitRatio);

    // Share of caller requests to refuse, 0 to 1.
    double pressure() const
    {
        return m_pressure;
    }

private:
    const PressureOptions m_options;
    double m_pressure = 0.0;
};

} // namespace wisteriafork
