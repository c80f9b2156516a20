#include "observability/overloadtracker.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Above this share of calls refused for load, a second belongs to an overload.
constexpr double OverloadRefusalShare = 0.01;
// Offered calls above this multiple of the baseline are a surge.
constexpr double SurgeFactor = 1.2;
// Goodput and latency have recovered when they are within 5% of the baseline (design section 1.8).
constexpr double RecoveryToleranceShare = 0.05;
// Added to the latency tolerance, because 5% of a latency below 10 ms is less than the noise of timers.
constexpr double LatencyNoiseSeconds = 0.001;
// Weight of a new second in the exponentially weighted baseline.
constexpr double BaselineSampleWeight = 0.2;
// Ends an overload after this time without refusals, even if goodput and latency stay away from the baseline.
constexpr std::int64_t RecoveryTimeoutSeconds = 60;

} // namespace

void OverloadTracker::recordCompletion(std::int64_t second, Duration time)
{
    advanceTo(second);
    m_currentCounts.offered += 1;
    m_currentCounts.completed += 1;
    m_currentCounts.totalLatencySeconds += std::chrono::duration<double>(time).count();
}

void OverloadTracker::recordLoadRefusal(std::int64_t second)
{
    advanceTo(second);
    m_currentCounts.offered += 1;
    m_currentCounts.refusedForLoad += 1;
}

void OverloadTracker::recordOtherOutcome(std::int64_t second)
{
    advanceTo(second);
    m_currentCounts.offered += 1;
}

std::optional<OverloadRecord> OverloadTracker::lastOverload(std::int64_t second) const
{
    OverloadTracker copy = *this;
    copy.advanceTo(second);
    if (!copy.m_overload) {
        return std::nullopt;
    }
    const Overload &overload = *copy.m_overload;
    const bool ongoing = overload.endSecond < 0;
    const std::int64_t endSecond = ongoing ? second : overload.endSecond;
    const std::int64_t recoveryBeginSecond = overload.lastSurgeSecond < 0 ? overload.beginSecond : overload.lastSurgeSecond + 1;
    return OverloadRecord{.ongoing = ongoing,
                          .duration = std::chrono::seconds(endSecond - overload.beginSecond),
                          .recoveryTime = std::chrono::seconds(std::max<std::int64_t>(0, endSecond - recoveryBeginSecond)),
                          .latencyRecovered = overload.latencyRecovered,
                          .timeSinceEnd = std::chrono::seconds(ongoing ? 0 : second - overload.endSecond)};
}

void OverloadTracker::advanceTo(std::int64_t second)
{
    // After a long time without calls, only as many of the empty seconds are evaluated as can end an overload.
    if (second > m_currentCounts.second + RecoveryTimeoutSeconds + 1) {
        evaluate(m_currentCounts);
        evaluate({.second = m_currentCounts.second + 1});
        m_currentCounts = {.second = second - RecoveryTimeoutSeconds - 1};
    }
    while (m_currentCounts.second < second) {
        evaluate(m_currentCounts);
        m_currentCounts = {.second = m_currentCounts.second + 1};
    }
}

bool OverloadTracker::isWithinBaseline(const SecondCounts &counts) const
{
    if (!m_baseline.isKnown || counts.offered == 0) {
        return true;
    }
    const double expectedCompletions = std::min(m_baseline.offeredPerSecond, counts.offered);
    const double meanLatencySeconds = counts.completed > 0 ? counts.totalLatencySeconds / counts.completed : 0;
    return counts.completed >= (1 - RecoveryToleranceShare) * expectedCompletions
        && meanLatencySeconds <= (1 + RecoveryToleranceShare) * m_baseline.meanLatencySeconds + LatencyNoiseSeconds;
}

void OverloadTracker::evaluateDuringOverload(const SecondCounts &counts)
{
    const bool isSurge = m_baseline.isKnown && counts.offered > SurgeFactor * m_baseline.offeredPerSecond;
    m_overload->lastSurgeSecond = isSurge ? counts.second : m_overload->lastSurgeSecond;
    if (counts.refusedForLoad > OverloadRefusalShare * counts.offered) {
        m_overload->secondsWithoutRefusals = 0;
        return;
    }
    ++m_overload->secondsWithoutRefusals;
    const bool hasRecovered = !isSurge && isWithinBaseline(counts);
    if (hasRecovered || m_overload->secondsWithoutRefusals >= RecoveryTimeoutSeconds) {
        m_overload->latencyRecovered = hasRecovered;
        m_overload->endSecond = counts.second;
    }
}

void OverloadTracker::evaluate(const SecondCounts &counts)
{
    if (m_overload && m_overload->endSecond < 0) {
        evaluateDuringOverload(counts);
        return;
    }
    if (counts.refusedForLoad > OverloadRefusalShare * counts.offered) {
        m_overload = Overload{.beginSecond = counts.second};
        evaluateDuringOverload(counts);
        return;
    }
    if (counts.completed == 0) {
        return;
    }
    const double weight = m_baseline.isKnown ? BaselineSampleWeight : 1.0;
    m_baseline.offeredPerSecond += weight * (counts.offered - m_baseline.offeredPerSecond);
    m_baseline.meanLatencySeconds += weight * (counts.totalLatencySeconds / counts.completed - m_baseline.meanLatencySeconds);
    m_baseline.isKnown = true;
}

} // namespace wisteriafork
