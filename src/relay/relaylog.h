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
    // `makeValues` returns the values of the line; it is called only if the line is written, which spares the formatting of dropped ones.
    template <typename MakeValues>
    void writeDecision(EventNumber number, bool ordinary, const MakeValues &makeValues)
    {
        if (claimLine(ordinary)) {
            m_log.write(number, makeValues());
        }
    }

private:
    // True if a line of this kind may be written now; it is then counted.
    bool claimLine(bool ordinary);
    void resetCountsIfDue();

    EventLog &m_log;
    const Clock &m_clock;
    TimePoint m_secondStart{};
    unsigned m_ordinaryLines = 0;
    unsigned m_unusualLines = 0;
    std::uint64_t m_droppedLines = 0;
};

} // namespace wisteriafork
