#include "core/relay/pressurecontroller.h"

#include <algorithm>

namespace wisteriafork {

PressureController::PressureController(const PressureOptions &options) : m_options(options)
{
}

void PressureController::update(double waitRatio)
{
    const double error = (waitRatio - 1.0) / (m_options.fullSpeedWaitFactor - 1.0);
    const double step
        = error > 0.0 ? m_options.maximumRise * std::min(error, 1.0) : m_options.maximumFall * std::max(-1.0, waitRatio - 1.0);
    m_pressure = std::clamp(m_pressure + step, 0.0, 1.0);
}

} // namespace wisteriafork
