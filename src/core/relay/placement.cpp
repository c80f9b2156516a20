#include "core/relay/placement.h"

#include "core/base/durationseconds.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace wisteriafork {

namespace {

// Minimum weight of one call in the moving average of a latency. The weight is higher after a time without calls.
constexpr double MinimumLatencySampleWeight = 0.15;
// Weight of one call in the moving average of the failure share of an instance.
constexpr double FailureSampleWeight = 0.12;
// Penalty of an instance that is used only if there is no other.
constexpr double UnusablePenaltySeconds = 1000.0;

} // namespace

Placement::Placement(const PlacementOptions &options, DomainId ownDomain, const Clock &clock, RandomEngine &random)
    : m_options(options), m_ownDomain(std::move(ownDomain)), m_clock(clock), m_random(random)
{
}

const Instance *Placement::choose(std::span<const Instance> instances, std::span<const std::string> excluded, const std::string &route,
                                  Duration targetLatency)
{
    std::vector<const Instance *> ownDomainCandidates;
    std::vector<const Instance *> otherDomainCandidates;
    for (const Instance &instance : instances) {
        if (!instance.draining && std::ranges::find(excluded, instance.id) == excluded.end()) {
            (instance.domain == m_ownDomain ? ownDomainCandidates : otherDomainCandidates).push_back(&instance);
        }
    }
    double lowestFailureShare = 1.0;
    for (const std::vector<const Instance *> *candidates : {&ownDomainCandidates, &otherDomainCandidates}) {
        for (const Instance *instance : *candidates) {
            lowestFailureShare = std::min(lowestFailureShare, failureShare(instance->id));
        }
    }
    const Instance *best = nullptr;
    double lowestCostSeconds = 0.0;
    std::uniform_real_distribution<double> noise(1.0 - m_options.waitJitterShare, 1.0 + m_options.waitJitterShare);
    for (std::vector<const Instance *> *candidates : {&ownDomainCandidates, &otherDomainCandidates}) {
        // Also without a selection: of instances with equal costs the first one is chosen.
        std::shuffle(candidates->begin(), candidates->end(), m_random);
        candidates->resize(std::min(candidates->size(), m_options.candidatesPerDomain));
        for (const Instance *instance : *candidates) {
            const double instanceCostSeconds = costSeconds(*instance, route, targetLatency, lowestFailureShare, noise(m_random));
            if (best == nullptr || instanceCostSeconds < lowestCostSeconds) {
                best = instance;
                lowestCostSeconds = instanceCostSeconds;
            }
        }
    }
    return best;
}

void Placement::onRequestSent(const std::string &instance)
{
    ++m_states[instance].inFlightCalls;
}

void Placement::onRequestEnded(const std::string &instance, const std::string &route, PlacementOutcome outcome, Duration elapsed)
{
    const auto found = m_states.find(instance);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    const TimePoint now = m_clock.now();
    state.inFlightCalls -= std::min(1U, state.inFlightCalls);
    if (outcome == PlacementOutcome::Unreachable) {
        const Duration pause = std::min<Duration>(m_options.maximumUnreachablePause,
                                                  m_options.firstUnreachablePause * (1U << std::min(state.consecutivePauses, 8U)));
        if (now >= state.pausedUntil) {
            ++state.consecutivePauses;
            state.pausedUntil = now + pause;
        }
        return;
    }
    if (outcome == PlacementOutcome::Abandoned || outcome == PlacementOutcome::Refused) {
        return;
    }
    state.consecutivePauses = 0;
    const double failure = outcome == PlacementOutcome::Failed ? 1.0 : 0.0;
    state.failureShare *= decayFactor(state.lastFailureUpdate);
    state.failureShare += FailureSampleWeight * (failure - state.failureShare);
    state.lastFailureUpdate = now;
    if (outcome == PlacementOutcome::Answered) {
        Latency &latency = state.latencyByRoute[route];
        const double weight = std::max(MinimumLatencySampleWeight, 1.0 - decayFactor(latency.lastUpdate));
        latency.seconds += weight * (toSeconds(elapsed) - latency.seconds);
        latency.lastUpdate = now;
    }
}

void Placement::recordReport(const std::string &instance, const ServingReport &report)
{
    State &state = m_states[instance];
    state.report = report;
    state.lastReportTime = m_clock.now();
    const unsigned occupied = report.runningRequests + report.queuedRequests;
    state.otherNodeCalls = occupied - std::min(occupied, state.inFlightCalls);
}

void Placement::forgetInstance(const std::string &instance)
{
    m_states.erase(instance);
}

double Placement::failureShare(const std::string &instance) const
{
    const auto found = m_states.find(instance);
    return found == m_states.end() ? 0.0 : found->second.failureShare * decayFactor(found->second.lastFailureUpdate);
}

double Placement::costSeconds(const Instance &instance, const std::string &route, Duration targetLatency, double lowestFailureShare,
                              double noise) const
{
    const double target = toSeconds(targetLatency);
    double total = instance.domain == m_ownDomain ? 0.0 : m_options.otherDomainPenaltyShare * target;
    const auto found = m_states.find(instance.id);
    if (found == m_states.end()) {
        return total;
    }
    const State &state = found->second;
    if (m_clock.now() < state.pausedUntil
        || (state.report.leaving && m_clock.now() - state.lastReportTime < m_options.leavingReportLifetime)) {
        total += UnusablePenaltySeconds;
    }
    if (const auto known = state.latencyByRoute.find(route); known != state.latencyByRoute.end()) {
        const double tolerated = m_options.toleratedLatencyShare * target;
        total += std::max(0.0, known->second.seconds - tolerated) * decayFactor(known->second.lastUpdate);
    }
    const double excessFailureShare
        = state.failureShare * decayFactor(state.lastFailureUpdate) - lowestFailureShare - m_options.toleratedFailureShare;
    return total + noise * expectedWaitSeconds(instance, state)
        + m_options.failurePenaltyFactor * target * std::max(0.0, excessFailureShare);
}

double Placement::expectedWaitSeconds(const Instance &instance, const State &state) const
{
    if (state.report.concurrencyLimit == 0) {
        return 0.0;
    }
    const double occupied = state.otherNodeCalls * decayFactor(state.lastReportTime) + state.inFlightCalls;
    const double limit = state.report.concurrencyLimit * (m_clock.now() < instance.coldUntil ? m_options.warmUpSlotShare : 1.0);
    return std::max(0.0, occupied + 1.0 - limit) / limit * toSeconds(state.report.holdingTime);
}

double Placement::decayFactor(TimePoint lastUpdate) const
{
    const Duration age = m_clock.now() - lastUpdate;
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(m_options.measurementDecayTime.count()));
}

} // namespace wisteriafork
