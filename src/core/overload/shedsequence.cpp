#include "core/overload/shedsequence.h"

#include "core/overload/admissionlevel.h"

namespace wisteriafork {

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
        m_closed.reset();
        return wanted;
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

bool ShedSequence::mayRefuseCritical() const
{
    return m_closed && (!m_options.enabled || m_clock.now() - *m_closed >= m_options.grace);
}

void ShedSequence::criticalRefused()
{
    m_criticalRefused = m_clock.now();
}

} // namespace wisteriafork
