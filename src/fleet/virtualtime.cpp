#include "fleet/virtualtime.h"

namespace wisteriafork::fleet {

void VirtualTime::scheduleAfter(Duration delay, std::function<void()> action)
{
    m_events.push({.time = now() + delay, .sequenceNumber = ++m_lastSequenceNumber, .action = std::move(action)});
}

void VirtualTime::scheduleEvery(Duration interval, const std::function<void()> &action)
{
    scheduleAfter(interval, [this, interval, action] {
        action();
        scheduleEvery(interval, action);
    });
}

void VirtualTime::runFor(Duration time)
{
    const TimePoint end = now() + time;
    while (!m_events.empty() && m_events.top().time <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_clock.set(event.time);
        event.action();
        m_context.restart();
        m_context.poll();
    }
    m_clock.set(end);
}

} // namespace wisteriafork::fleet
