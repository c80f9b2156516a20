#include "core/relay/placement.h"

#include "core/base/durationseconds.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace wisteriafork {

namespace {

// Weight of one call in the latency and in the failure share of an instance.
constexpr double LatencyWeight = 0.15;
constexpr double FailureWeight = 0.12;
// Cost of an instance that must not be used unless there is no other.
constexpr double Unusable = 1000.0;

} // namespace

Placement::Placement(const PlacementOptions &options, DomainId ownDomain, const Clock &clock, RandomEngine &random)
    : m_options(options), m_ownDomain(std::move(ownDomain)), m_clock(clock), m_random(random)
{
}

const Instance *Placement::choose(std::span<const Instance> instances, std::span<const std::string> excluded, const std::string &route,
                                  Duration targetLatency)
{
    std::vector<const Instance *> near;
    std::vector<const Instance *> far;
    for (const Instance &instance : instances) {
        if (!instance.draining && std::ranges::find(excluded, instance.id) == excluded.end()) {
            (instance.domain == m_ownDomain ? near : far).push_back(&instance);
        }
    }
    double leastFailures = 1.0;
    for (const std::vector<const Instance *> *candidates : {&near, &far}) {
        for (const Instance *instance : *candidates) {
            leastFailures = std::min(leastFailures, failureShare(instance->id));
        }
    }
    const Instance *best = nullptr;
    double leastCost = 0.0;
    std::uniform_real_distribution<double> noise(1.0 - m_options.jitter, 1.0 + m_options.jitter);
    for (std::vector<const Instance *> *candidates : {&near, &far}) {
        if (candidates->size() > m_options.samples) {
            std::shuffle(candidates->begin(), candidates->end(), m_random);
            candidates->resize(m_options.samples);
        }
        for (const Instance *instance : *candidates) {
            const double instanceCost = cost(*instance, route, targetLatency, leastFailures, noise(m_random));
            if (best == nullptr || instanceCost < leastCost) {
                best = instance;
                leastCost = instanceCost;
            }
        }
    }
    return best;
}

void Placement::onRequestSent(const std::string &instance)
{
    ++m_states[instance].outstanding;
}

void Placement::onRequestEnded(const std::string &instance, const std::string &route, PlacementOutcome outcome, Duration elapsed)
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
        latency.seconds += weight * (toSeconds(elapsed) - latency.seconds);
        latency.updated = now;
    }
}

void Placement::recordReport(const std::string &instance, const ServingReport &report)
{
    State &state = m_states[instance];
    state.report = report;
    state.reported = m_clock.now();
    const unsigned occupied = report.runningRequests + report.queuedRequests;
    state.others = occupied - std::min(occupied, state.outstanding);
}

void Placement::forgetInstance(const std::string &instance)
{
    m_states.erase(instance);
}

double Placement::failureShare(const std::string &instance) const
{
    const auto found = m_states.find(instance);
    return found == m_states.end() ? 0.0 : found->second.failures * weightOf(found->second.failureUpdated);
}

double Placement::cost(const Instance &instance, const std::string &route, Duration targetLatency, double leastFailures, double noise) const
{
    const double target = toSeconds(targetLatency);
    double total = instance.domain == m_ownDomain ? 0.0 : m_options.domainCost * target;
    const auto found = m_states.find(instance.id);
    if (found == m_states.end()) {
        return total;
    }
    const State &state = found->second;
    if (m_clock.now() < state.pausedUntil || (state.report.leaving && m_clock.now() - state.reported < m_options.leavingMemory)) {
        total += Unusable;
    }
    if (const auto known = state.latencies.find(route); known != state.latencies.end()) {
        const double free = m_options.freeLatency * target;
        total += std::max(0.0, known->second.seconds - free) * weightOf(known->second.updated);
    }
    const double failures = state.failures * weightOf(state.failureUpdated) - leastFailures - m_options.freeFailures;
    return total + noise * waitAt(instance, state) + m_options.failureCost * target * std::max(0.0, failures);
}

double Placement::waitAt(const Instance &instance, const State &state) const
{
    if (state.report.concurrencyLimit == 0) {
        return 0.0;
    }
    const double occupied = state.others * weightOf(state.reported) + state.outstanding;
    const double limit = state.report.concurrencyLimit * (m_clock.now() < instance.coldUntil ? m_options.coldShare : 1.0);
    return std::max(0.0, occupied + 1.0 - limit) / limit * toSeconds(state.report.holdingTime);
}

double Placement::weightOf(TimePoint updated) const
{
    const Duration age = m_clock.now() - updated;
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(m_options.memory.count()));
}

} // namespace wisteriafork
