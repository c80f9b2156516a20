#include "core/relay/pressurecontroller.h"

#include <algorithm>

namespace wisteriafork {

PressureController::PressureController(const PressureOptions &options) : m_options(options)
{
}

void PressureController::update(double relativeWait)
{
    const double error = (relativeWait - 1.0) / (m_options.fullScale - 1.0);
    const double step = error > 0.0 ? m_options.rise * std::min(error, 1.0) : m_options.fall * std::max(-1.0, relativeWait - 1.0);
    m_pressure = std::clamp(m_pressure + step, 0.0, 1.0);
}

} // namespace wisteriafork
