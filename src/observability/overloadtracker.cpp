#include "observability/overloadtracker.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// A second with more than this share of calls refused for load belongs to an overload.
constexpr double RefusedShare = 0.01;
// More calls than this multiple of the normal number are a surge.
constexpr double SurgeFactor = 1.2;
// Goodput and latency count as recovered within 5% of their earlier values (design section 1.8).
constexpr double RecoveredShare = 0.05;
// Added to the allowed latency, because 5% of a time below 10 ms is smaller than the noise of timers.
constexpr double LatencyNoise = 0.001;
// Weight of a new second in the baseline.
constexpr double BaselineWeight = 0.2;
// Seconds without refusals after which an overload has ended although latency stays at another level.
constexpr std::int64_t SettledSeconds = 60;

} // namespace

void OverloadTracker::completed(std::int64_t second, Duration time)
{
    advance(second);
    m_current.offered += 1;
    m_current.completed += 1;
    m_current.totalTime += std::chrono::duration<double>(time).count();
}

void OverloadTracker::refusedForLoad(std::int64_t second)
{
    advance(second);
    m_current.offered += 1;
    m_current.refused += 1;
}

void OverloadTracker::endedOtherwise(std::int64_t second)
{
    advance(second);
    m_current.offered += 1;
}

std::optional<OverloadRecord> OverloadTracker::record(std::int64_t second) const
{
    OverloadTracker copy = *this;
    copy.advance(second);
    if (!copy.m_overload) {
        return std::nullopt;
    }
    const Overload &overload = *copy.m_overload;
    const bool ongoing = overload.end < 0;
    const std::int64_t end = ongoing ? second : overload.end;
    const std::int64_t recoveryBegin = overload.lastSurge < 0 ? overload.begin : overload.lastSurge + 1;
    return OverloadRecord{.ongoing = ongoing,
                          .duration = std::chrono::seconds(end - overload.begin),
                          .recovery = std::chrono::seconds(std::max<std::int64_t>(0, end - recoveryBegin)),
                          .latencyRecovered = overload.latencyRecovered,
                          .endedAgo = std::chrono::seconds(ongoing ? 0 : second - overload.end)};
}

void OverloadTracker::advance(std::int64_t second)
{
    // After a long silence the seconds in between are all empty and equal, so only as many are closed as can end an overload.
    if (second > m_current.number + SettledSeconds + 1) {
        close(m_current);
        close({.number = m_current.number + 1});
        m_current = {.number = second - SettledSeconds - 1};
    }
    while (m_current.number < second) {
        close(m_current);
        m_current = {.number = m_current.number + 1};
    }
}

bool OverloadTracker::isWithinBaseline(const Second &second) const
{
    if (!m_baseline.known || second.offered == 0) {
        return true;
    }
    const double expected = std::min(m_baseline.offered, second.offered);
    const double meanTime = second.completed > 0 ? second.totalTime / second.completed : 0;
    return second.completed >= (1 - RecoveredShare) * expected && meanTime <= (1 + RecoveredShare) * m_baseline.time + LatencyNoise;
}

void OverloadTracker::closeDuringOverload(const Second &second)
{
    const bool surge = m_baseline.known && second.offered > SurgeFactor * m_baseline.offered;
    m_overload->lastSurge = surge ? second.number : m_overload->lastSurge;
    if (second.refused > RefusedShare * second.offered) {
        m_overload->calmSeconds = 0;
        return;
    }
    ++m_overload->calmSeconds;
    const bool recovered = !surge && isWithinBaseline(second);
    if (recovered || m_overload->calmSeconds >= SettledSeconds) {
        m_overload->latencyRecovered = recovered;
        m_overload->end = second.number;
    }
}

void OverloadTracker::close(const Second &second)
{
    if (m_overload && m_overload->end < 0) {
        closeDuringOverload(second);
        return;
    }
    if (second.refused > RefusedShare * second.offered) {
        m_overload = Overload{.begin = second.number};
        closeDuringOverload(second);
        return;
    }
    if (second.completed == 0) {
        return;
    }
    const double weight = m_baseline.known ? BaselineWeight : 1.0;
    m_baseline.offered += weight * (second.offered - m_baseline.offered);
    m_baseline.time += weight * (second.totalTime / second.completed - m_baseline.time);
    m_baseline.known = true;
}

} // namespace wisteriafork
