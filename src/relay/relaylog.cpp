#include "relay/relaylog.h"

#include <utility>

namespace wisteriafork {

namespace {

// A line takes about 20 microseconds, so that all lines together take less than a quarter of a percent of a core.
constexpr unsigned MaxOrdinaryLinesPerSecond = 10;
constexpr unsigned MaxUnusualLinesPerSecond = 60;

} // namespace

RelayLog::RelayLog(EventLog &log, const Clock &clock) : m_log(log), m_clock(clock)
{
}

void RelayLog::write(EventNumber number, const std::vector<std::string> &values)
{
    m_log.write(number, values);
}

bool RelayLog::claimLine(bool ordinary)
{
    resetCountsIfDue();
    unsigned &lines = ordinary ? m_ordinaryLines : m_unusualLines;
    if (lines >= (ordinary ? MaxOrdinaryLinesPerSecond : MaxUnusualLinesPerSecond)) {
        ++m_droppedLines;
        return false;
    }
    ++lines;
    return true;
}

void RelayLog::resetCountsIfDue()
{
    const TimePoint now = m_clock.now();
    if (now - m_secondStart < std::chrono::seconds(1)) {
        return;
    }
    m_secondStart = now;
    m_ordinaryLines = 0;
    m_unusualLines = 0;
    if (m_droppedLines > 0) {
        m_log.write(EventNumber::DecisionLinesDropped, {std::to_string(std::exchange(m_droppedLines, 0))});
    }
}

} // namespace wisteriafork
