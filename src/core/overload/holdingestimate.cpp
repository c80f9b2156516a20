#include "core/overload/holdingestimate.h"

#include <algorithm>
#include <chrono>

namespace wisteriafork {

namespace {

// Weight of one call in the mean holding time.
constexpr double HoldingWeight = 0.05;
// Ratio of holding time to the mean age of running calls. It is 2 for equal times and 1 for exponential ones.
constexpr double AgeFactor = 1.25;

double seconds(TimePoint time)
{
    return std::chrono::duration<double>(time.time_since_epoch()).count();
}

} // namespace

void HoldingEstimate::started(TimePoint start)
{
    m_startSum += seconds(start);
    ++m_running;
}

void HoldingEstimate::ended(TimePoint start)
{
    m_startSum -= seconds(start);
    --m_running;
}

void HoldingEstimate::sample(double held)
{
    m_finished += (m_finished <= 0.0 ? 1.0 : HoldingWeight) * (held - m_finished);
}

double HoldingEstimate::finished() const
{
    return m_finished;
}

double HoldingEstimate::current(TimePoint now) const
{
    // Finished calls tell late of a slowdown, because the slow ones have not finished yet; the age of the running ones tells at once.
    const double age = m_running == 0 ? 0.0 : seconds(now) - m_startSum / static_cast<double>(m_running);
    return std::max(m_finished, AgeFactor * age);
}

double HoldingEstimate::slower(TimePoint now) const
{
    return m_finished > 0.0 ? current(now) / m_finished : 1.0;
}

} // namespace wisteriafork
