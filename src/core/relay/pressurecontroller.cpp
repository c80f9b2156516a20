#include "core/relay/pressurecontroller.h"

#include <algorithm>

namespace wisteriafork {

PressureController::PressureController(const PressureOptions &options) : m_options(options)
{
}

void PressureController::update(Duration wait)
{
    const Duration excess = wait - m_options.targetWait;
    const double error = static_cast<double>(excess.count()) / static_cast<double>(m_options.fullScale.count());
    const double step = error > 0.0 ? m_options.rise * std::min(error, 1.0) : -m_options.fall;
    m_pressure = std::clamp(m_pressure + step, 0.0, 1.0);
}

} // namespace wisteriafork
