#include "relay/relaylog.h"

#include <utility>

namespace wisteriafork {

namespace {

// Lines a second. A line takes about 20 microseconds, so that all of them stay under a quarter of a percent of a core.
constexpr unsigned OrdinaryLines = 10;
constexpr unsigned UnusualLines = 60;

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
    refill();
    unsigned &lines = ordinary ? m_ordinary : m_unusual;
    if (lines >= (ordinary ? OrdinaryLines : UnusualLines)) {
        ++m_dropped;
        return false;
    }
    ++lines;
    return true;
}

void RelayLog::refill()
{
    const TimePoint now = m_clock.now();
    if (now - m_second < std::chrono::seconds(1)) {
        return;
    }
    m_second = now;
    m_ordinary = 0;
    m_unusual = 0;
    if (m_dropped > 0) {
        m_log.write(EventNumber::DecisionLinesDropped, {std::to_string(std::exchange(m_dropped, 0))});
    }
}

} // namespace wisteriafork
