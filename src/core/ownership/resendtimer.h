#pragma once

#include "core/base/clock.h"

#include <algorithm>

namespace wisteriafork {

// Times the repetitions of a message: at once, then after an interval that doubles up to a maximum.
class ResendTimer
{
public:
    ResendTimer(Duration first, Duration maximum) : m_first(first), m_maximum(maximum), m_interval(first)
    {
    }

    bool due(TimePoint now) const
    {
        return now >= m_next;
    }

    void sent(TimePoint now)
    {
        m_next = now + m_interval;
        m_interval = std::min(m_interval * 2, m_maximum);
    }

    // Makes the message due at once and starts again with the first interval.
    void reset()
    {
        m_interval = m_first;
        m_next = TimePoint::min();
    }

private:
    Duration m_first;
    Duration m_maximum;
    Duration m_interval;
    TimePoint m_next = TimePoint::min();
};

} // namespace wisteriafork
