#include "core/overload/learntlevel.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

// Least weight of one report, so that many reports at the same time still move the mean.
constexpr double LeastWeight = 0.05;

} // namespace

void LearntLevel::learn(double reported, TimePoint now, Duration memory, const EdgeGateOptions &options)
{
    const double current = scale(now, options);
    const double gap = m_known ? std::chrono::duration<double>(now - m_learnt) / memory : 1e3;
    const double weight = std::max(LeastWeight, 1.0 - std::exp(-gap));
    m_scale = current + weight * (reported - current);
    m_learnt = now;
    m_known = true;
}

double LearntLevel::scale(TimePoint now, const EdgeGateOptions &options) const
{
    if (!m_known) {
        return FullScale;
    }
    return now - m_learnt > options.levelMemoryLimit ? FullScale : m_scale;
}

bool LearntLevel::takeProbe(TimePoint now, const EdgeGateOptions &options)
{
    if (now - m_learnt < options.levelHold || now - m_probed < options.levelHold) {
        return false;
    }
    m_probed = now;
    return true;
}

} // namespace wisteriafork
