#include "lab/model/eventqueue.h"

#include <utility>

namespace wisteriafork::lab {

void EventQueue::after(Duration delay, Handler handler)
{
    m_events.push({.time = m_clock.now() + delay, .sequence = m_sequence++, .handler = std::move(handler)});
}

void EventQueue::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        // The handler is moved out before it is removed, because it may add events.
        Event event = std::move(const_cast<Event &>(m_events.top()));
        m_events.pop();
        m_clock.set(event.time);
        ++m_eventsRun;
        event.handler();
    }
    m_clock.set(end);
}

} // namespace wisteriafork::lab
