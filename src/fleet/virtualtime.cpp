#include "fleet/virtualtime.h"

namespace wisteriafork::fleet {

void VirtualTime::after(Duration delay, std::function<void()> action)
{
    m_events.push({.at = now() + delay, .order = ++m_lastOrder, .action = std::move(action)});
}

void VirtualTime::every(Duration interval, const std::function<void()> &action)
{
    after(interval, [this, interval, action] {
        action();
        every(interval, action);
    });
}

void VirtualTime::run(Duration time)
{
    const TimePoint end = now() + time;
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_clock.set(event.at);
        event.action();
        m_context.restart();
        m_context.poll();
    }
    m_clock.set(end);
}

} // namespace wisteriafork::fleet
