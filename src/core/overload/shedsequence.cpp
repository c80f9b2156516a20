#include "core/overload/shedsequence.h"

#include "core/overload/admissionlevel.h"

#include <algorithm>
#include <chrono>

namespace wisteriafork {

namespace {

// Part of the reads that may arrive at once after a closure, to start the ramp.
constexpr double FirstStep = 16.0;

} // namespace

ShedSequence::ShedSequence(ReadClosureOptions options, const Clock &clock) : m_options(options), m_clock(clock)
{
}

double ShedSequence::apply(double wanted)
{
    if (!m_options.enabled) {
        m_closed = wanted <= CriticalOnlyScale ? m_closed.value_or(m_clock.now()) : std::optional<TimePoint>();
        return wanted;
    }
    const TimePoint now = m_clock.now();
    if (wanted > CriticalOnlyScale) {
        if (m_criticalRefused && now - *m_criticalRefused < m_options.hold) {
            return CriticalOnlyScale;
        }
        if (m_closed) {
            m_closed.reset();
            m_rampStart.reset();
            m_opening = m_options.rampEnabled;
        }
        const double most = ceiling();
        m_opening = m_opening && most < FullScale;
        return std::min(wanted, most);
    }
    m_closed = m_closed.value_or(now);
    if (wanted < CriticalOnlyScale && !mayRefuseCritical()) {
        return CriticalOnlyScale;
    }
    if (wanted < CriticalOnlyScale) {
        m_criticalRefused = now;
    }
    return wanted;
}

void ShedSequence::readArrived()
{
    if (m_opening && !m_rampStart) {
        m_rampStart = m_clock.now();
    }
}

double ShedSequence::ceiling() const
{
    if (!m_opening) {
        return FullScale;
    }
    const Duration passed = m_rampStart ? m_clock.now() - *m_rampStart : Duration(0);
    return std::min(FullScale, CriticalOnlyScale + FirstStep + CutsPerClass * (passed / std::chrono::duration<double>(m_options.rampTime)));
}

bool ShedSequence::mayRefuseCritical() const
{
    return m_closed && (!m_options.enabled || m_clock.now() - *m_closed >= m_options.grace);
}

void ShedSequence::criticalRefused()
{
    m_criticalRefused = m_clock.now();
}

} // namespace wisteriafork
