#include "core/overload/levelinforce.h"

namespace wisteriafork {

LevelInForce::LevelInForce(LevelControllerOptions level, ReadClosureOptions closure, bool enabled, const Clock &clock)
    : m_wanted(level, clock), m_sequence(closure, clock), m_closureEnabled(closure.enabled), m_enabled(enabled)
{
}

void LevelInForce::arrived(CallClass callClass, std::uint64_t requestHash)
{
    m_wanted.arrived(callClass, requestHash);
}

void LevelInForce::readOffered()
{
    m_sequence.readArrived();
}

void LevelInForce::update(double queued, double queuedCritical, double capacity, bool idle)
{
    if (m_enabled) {
        m_wanted.update(queued, queuedCritical, capacity);
    }
    if (m_closureEnabled && idle) {
        // A server that could take them has no reason to refuse critical calls, however slowly its level opens.
        m_wanted.relax(CriticalOnlyScale);
    }
    m_scale = m_sequence.apply(m_wanted.scale());
    if (m_scale < m_wanted.scale()) {
        m_wanted.tighten(m_scale);
    }
}

bool LevelInForce::admitsCall(CallClass callClass, std::uint64_t requestHash) const
{
    return !m_enabled || admits(m_scale, callClass, requestHash);
}

bool LevelInForce::refusesCritical()
{
    const bool allowed = m_sequence.mayRefuseCritical();
    m_wanted.tighten(CriticalOnlyScale);
    m_scale = m_sequence.apply(m_wanted.scale());
    if (allowed) {
        m_sequence.criticalRefused();
    }
    return allowed;
}

AdmissionLevel LevelInForce::nextLevel()
{
    if (!m_enabled) {
        return {};
    }
    const AdmissionLevel wanted = m_wanted.nextLevel();
    return m_scale == m_wanted.scale() ? wanted : fromScale(m_scale);
}

} // namespace wisteriafork
