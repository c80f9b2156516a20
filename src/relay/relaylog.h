#pragma once

#include "core/base/clock.h"
#include "observability/eventlog.h"

#include <string>
#include <vector>

namespace wisteriafork {

// Log of a relay: passes events on to the event log at a bounded rate, so that logging takes a bounded part of the processor under load.
// Not thread safe.
class RelayLog
{
public:
    RelayLog(EventLog &log, const Clock &clock);

    // An event of the process or of what it believes; never dropped.
    void write(EventNumber number, const std::vector<std::string> &values);
    // A decision on a request. Ordinary ones are written at a lower rate. Dropped lines are counted and reported once a second.
    void decision(EventNumber number, bool ordinary, const std::vector<std::string> &values);
    // True if a line of this kind would be written now; spares the formatting of dropped lines.
    bool accepts(bool ordinary);

private:
    void refill();

    EventLog &m_log;
    const Clock &m_clock;
    TimePoint m_second{};
    unsigned m_ordinary = 0;
    unsigned m_unusual = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace wisteriafork
