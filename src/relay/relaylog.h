#pragma once

#include "core/base/clock.h"
#include "observability/eventlog.h"

#include <string>
#include <vector>

namespace wisteriafork {

// Log of a relay. Limits the rate of lines about single requests, so that logging takes a bounded share of the processor under load. Not
// thread safe.
class RelayLog
{
public:
    RelayLog(EventLog &log, const Clock &clock);

    // Writes an event about the process, its configuration or the instances it knows. Such lines are never dropped.
    void write(EventNumber number, const std::vector<std::string> &values);
    // Writes a decision about a request. Ordinary decisions have a lower rate limit. Dropped lines are counted and reported at most once a
    // second. `makeValues` returns the values of the line; it is called only if the line is written, which saves formatting dropped lines.
    template <typename MakeValues>
    void writeDecision(EventNumber number, bool ordinary, const MakeValues &makeValues)
    {
        if (claimLine(ordinary)) {
            m_log.write(number, makeValues());
        }
    }

private:
    // True if a line of this kind may be written now; the line is then counted against the limit.
    bool claimLine(bool ordinary);
    // Starts a new second if the current one has passed, and reports the lines dropped in it.
    void resetCountsIfDue();

    EventLog &m_log;
    const Clock &m_clock;
    TimePoint m_secondStart{};
    unsigned m_ordinaryLines = 0;
    unsigned m_unusualLines = 0;
    std::uint64_t m_droppedLines = 0;
};

} // namespace wisteriafork
