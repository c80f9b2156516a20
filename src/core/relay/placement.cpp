#include "core/relay/placement.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

// Weight of one call in the latency and in the failure share of an instance.
constexpr double LatencyWeight = 0.15;
constexpr double FailureWeight = 0.12;
// Part of the reported limit up to which calls do not wait.
constexpr double FreeShare = 0.9;
// Cost of an instance that must not be used unless there is no other.
constexpr double Unusable = 1000.0;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Placement::Placement(const PlacementOptions &options, DomainId ownDomain, const Clock &clock)
    : m_options(options), m_ownDomain(std::move(ownDomain)), m_clock(clock)
{
}

const Instance *Placement::choose(std::span<const Instance> instances, std::span<const std::string> excluded, const std::string &route,
                                  Duration targetLatency) const
{
    const Instance *best = nullptr;
    double leastCost = 0.0;
    for (const Instance &instance : instances) {
        if (instance.draining || std::ranges::find(excluded, instance.id) != excluded.end()) {
            continue;
        }
        const double instanceCost = cost(instance, route, targetLatency);
        if (best == nullptr || instanceCost < leastCost) {
            best = &instance;
            leastCost = instanceCost;
        }
    }
    return best;
}

void Placement::sent(const std::string &instance)
{
    State &state = m_states[instance];
    ++state.outstanding;
    ++state.sentSinceReport;
}

void Placement::ended(const std::string &instance, const std::string &route, PlacementOutcome outcome, Duration elapsed)
{
    const auto found = m_states.find(instance);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    const TimePoint now = m_clock.now();
    state.outstanding -= std::min(1U, state.outstanding);
    if (outcome == PlacementOutcome::Unreachable) {
        const Duration pause = std::min<Duration>(m_options.longestPause, m_options.firstPause * (1U << std::min(state.pauses, 8U)));
        if (now >= state.pausedUntil) {
            ++state.pauses;
            state.pausedUntil = now + pause;
        }
        return;
    }
    if (outcome == PlacementOutcome::Abandoned || outcome == PlacementOutcome::Refused) {
        return;
    }
    state.pauses = 0;
    const double failed = outcome == PlacementOutcome::Failed ? 1.0 : 0.0;
    state.failures *= weightOf(state.failureUpdated);
    state.failures += FailureWeight * (failed - state.failures);
    state.failureUpdated = now;
    if (outcome == PlacementOutcome::Answered) {
        Latency &latency = state.latencies[route];
        const double weight = std::max(LatencyWeight, 1.0 - weightOf(latency.updated));
        latency.seconds += weight * (seconds(elapsed) - latency.seconds);
        latency.updated = now;
    }
}

void Placement::report(const std::string &instance, const ServingReport &report)
{
    State &state = m_states[instance];
    state.report = report;
    state.reported = m_clock.now();
    state.sentSinceReport = 0;
}

void Placement::forget(const std::string &instance)
{
    m_states.erase(instance);
}

double Placement::failureShare(const std::string &instance) const
{
    const auto found = m_states.find(instance);
    return found == m_states.end() ? 0.0 : found->second.failures * weightOf(found->second.failureUpdated);
}

double Placement::cost(const Instance &instance, const std::string &route, Duration targetLatency) const
{
    double total = instance.domain == m_ownDomain ? 0.0 : m_options.domainCost;
    const auto found = m_states.find(instance.id);
    if (found == m_states.end()) {
        return total;
    }
    const State &state = found->second;
    const TimePoint now = m_clock.now();
    if (now < state.pausedUntil) {
        total += Unusable;
    }
    const double age = weightOf(state.reported);
    if (state.report.leaving && age > 0.3) {
        total += Unusable;
    }
    double latency = 0.0;
    if (const auto known = state.latencies.find(route); known != state.latencies.end()) {
        latency = known->second.seconds * weightOf(known->second.updated);
    }
    double expected = latency;
    if (state.report.limit > 0) {
        const double occupied = age * (state.report.running + state.report.queued) + std::min(state.sentSinceReport, state.outstanding);
        const double free = FreeShare * state.report.limit;
        // Requests above the limit wait for one holding time each, spread over the limit; the latency stands for the holding time.
        const double holding = std::max(latency, seconds(state.report.expectedWait) * age);
        expected += std::max(0.0, occupied - free) / state.report.limit * holding;
        expected = std::max(expected, age * seconds(state.report.expectedWait));
    }
    const double relative = expected / std::max(1e-3, seconds(targetLatency));
    return total + relative * relative + m_options.failureCost * state.failures * weightOf(state.failureUpdated);
}

double Placement::weightOf(TimePoint updated) const
{
    const Duration age = m_clock.now() - updated;
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(m_options.memory.count()));
}

} // namespace wisteriafork
