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
// Minimum weight of one report in the moving averages of the load and the speed of an instance.
constexpr double MinimumReportSampleWeight = 0.1;
// Penalty of an instance that is used only if there is no other.
constexpr double UnusablePenaltySeconds = 1000.0;

// Decay of the greatest speed of a service with each draw, so that it follows instances that become slower.
constexpr double MostCallsDecay = 0.001;
// Speed of an instance that this node has not called yet, as a share of the greatest speed of its service.
constexpr double UnknownSpeedShare = 0.5;
// Random draws for one choice. They find the candidates unless fewer than about one instance in ten may be chosen.
constexpr unsigned MaxDraws = 48;

bool isUsable(const Instance &instance, std::span<const std::string> excluded)
{
    return !instance.draining && std::ranges::find(excluded, instance.id) == excluded.end();
}

} // namespace

Placement::Placement(const PlacementOptions &options, DomainId ownDomain, const Clock &clock, RandomEngine &random)
    : m_options(options), m_ownDomain(std::move(ownDomain)), m_clock(clock), m_random(random)
{
}

const Instance *Placement::choose(std::span<const Instance> instances, std::span<const std::string> excluded, const std::string &route,
                                  Duration targetLatency)
{
    const Candidates candidates = m_knowsSpeeds ? sampleBySpeed(instances, excluded) : sampleEvenly(instances, excluded);
    double lowestFailureShare = 1.0;
    if (!m_knowsSpeeds) {
        for (const Instance &instance : instances) {
            if (isUsable(instance, excluded)) {
                lowestFailureShare = std::min(lowestFailureShare, failureShare(instance.id));
            }
        }
    } else {
        for (const auto *list : {&candidates.ownDomain, &candidates.otherDomains}) {
            for (const Instance *instance : *list) {
                lowestFailureShare = std::min(lowestFailureShare, failureShare(instance->id));
            }
        }
    }
    const Instance *best = nullptr;
    double lowestCostSeconds = 0.0;
    std::uniform_real_distribution<double> noise(1.0 - m_options.waitJitterShare, 1.0 + m_options.waitJitterShare);
    for (const auto *list : {&candidates.ownDomain, &candidates.otherDomains}) {
        for (const Instance *instance : *list) {
            const double instanceCostSeconds = costSeconds(*instance, route, targetLatency, lowestFailureShare, noise(m_random));
            if (best == nullptr || instanceCostSeconds < lowestCostSeconds) {
                best = instance;
                lowestCostSeconds = instanceCostSeconds;
            }
        }
    }
    return best;
}

Placement::Candidates Placement::sampleEvenly(std::span<const Instance> instances, std::span<const std::string> excluded) const
{
    Candidates candidates;
    for (const Instance &instance : instances) {
        if (isUsable(instance, excluded)) {
            (instance.domain == m_ownDomain ? candidates.ownDomain : candidates.otherDomains).push_back(&instance);
        }
    }
    for (std::vector<const Instance *> *list : {&candidates.ownDomain, &candidates.otherDomains}) {
        // Also without a selection: of instances with equal costs the first one is chosen.
        std::shuffle(list->begin(), list->end(), m_random);
        list->resize(std::min(list->size(), m_options.candidatesPerDomain));
    }
    return candidates;
}

Placement::Candidates Placement::sampleBySpeed(std::span<const Instance> instances, std::span<const std::string> excluded)
{
    Candidates candidates;
    if (instances.empty()) {
        return candidates;
    }
    double &most = m_mostCallsPerSecond[instances.front().service];
    const std::size_t wanted = m_options.weightedCandidatesPerDomain;
    std::uniform_int_distribution<std::size_t> index(0, instances.size() - 1);
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    for (unsigned draw = 0; draw < MaxDraws; ++draw) {
        const Instance &instance = instances[index(m_random)];
        std::vector<const Instance *> &list = instance.domain == m_ownDomain ? candidates.ownDomain : candidates.otherDomains;
        if (list.size() >= wanted || !isUsable(instance, excluded) || std::ranges::find(list, &instance) != list.end()) {
            continue;
        }
        // All nodes try an instance of unknown speed at the same time after their start, so it counts as a slow one.
        const double speed = callsPerSecond(instance).value_or(UnknownSpeedShare * most);
        most = std::max(speed, most * (1.0 - MostCallsDecay));
        if (most <= 0.0 || chance(m_random) < speed / most) {
            list.push_back(&instance);
        }
        if (candidates.ownDomain.size() >= wanted && candidates.otherDomains.size() >= wanted) {
            return candidates;
        }
    }
    // Few instances may be chosen, or few of a failure domain.
    return candidates.ownDomain.empty() ? sampleEvenly(instances, excluded) : candidates;
}

std::optional<double> Placement::callsPerSecond(const Instance &instance) const
{
    const auto found = m_states.find(instance.id);
    if (found == m_states.end() || found->second.report.concurrencyLimit == 0 || found->second.report.holdingTime <= Duration(0)) {
        return std::nullopt;
    }
    return usableSlots(instance, found->second) / toSeconds(found->second.report.holdingTime);
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
    const TimePoint previousReportTime = state.lastReportTime;
    state.report = report;
    state.lastReportTime = m_clock.now();
    const unsigned occupied = report.runningRequests + report.queuedRequests;
    state.otherNodeCalls = occupied - std::min(occupied, state.inFlightCalls);
    if (report.slowdownPercent > 0) {
        m_knowsSpeeds = true;
        updateMeans(state, decayFactor(previousReportTime));
    }
}

void Placement::updateMeans(State &state, double formerWeight)
{
    const double weight = state.meanSlowdownPercent <= 0.0 ? 1.0 : std::max(MinimumReportSampleWeight, 1.0 - formerWeight);
    state.meanOtherNodeCalls += weight * (state.otherNodeCalls - state.meanOtherNodeCalls);
    state.meanSlowdownPercent += weight * (state.report.slowdownPercent - state.meanSlowdownPercent);
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
        + m_options.outstandingWorkShare * noise * outstandingWorkSeconds(instance, state)
        + m_options.failurePenaltyFactor * target * std::max(0.0, excessFailureShare);
}

double Placement::expectedWaitSeconds(const Instance &instance, const State &state) const
{
    if (state.report.concurrencyLimit == 0) {
        return 0.0;
    }
    const double limit = usableSlots(instance, state);
    return std::max(0.0, probableCalls(state) + 1.0 - limit) / limit * probableHoldingSeconds(state);
}

double Placement::outstandingWorkSeconds(const Instance &instance, const State &state) const
{
    if (state.report.concurrencyLimit == 0 || state.report.slowdownPercent == 0) {
        return 0.0;
    }
    return (probableCalls(state) + 1.0) / usableSlots(instance, state) * probableHoldingSeconds(state);
}

double Placement::usableSlots(const Instance &instance, const State &state) const
{
    return state.report.concurrencyLimit * (m_clock.now() < instance.coldUntil ? m_options.warmUpSlotShare : 1.0);
}

double Placement::probableCalls(const State &state) const
{
    if (state.report.slowdownPercent == 0) {
        return state.otherNodeCalls * decayFactor(state.lastReportTime) + state.inFlightCalls;
    }
    const double weight = std::exp(-toSeconds(m_clock.now() - state.lastReportTime)
                                   / (2.0 * toSeconds(state.report.holdingTime) + toSeconds(m_options.loadDecayTime)));
    return state.meanOtherNodeCalls + weight * (state.otherNodeCalls - state.meanOtherNodeCalls) + state.inFlightCalls;
}

double Placement::probableHoldingSeconds(const State &state) const
{
    const double holdingSeconds = toSeconds(state.report.holdingTime);
    if (state.report.slowdownPercent == 0 || state.meanSlowdownPercent <= 0.0) {
        return holdingSeconds;
    }
    // The holding time is a mean over many calls, so that it contains the mean slowdown.
    const double weight = std::exp(-toSeconds(m_clock.now() - state.lastReportTime) / toSeconds(m_options.speedDecayTime));
    return holdingSeconds * (1.0 + weight * (state.report.slowdownPercent / state.meanSlowdownPercent - 1.0));
}

double Placement::decayFactor(TimePoint lastUpdate) const
{
    const Duration age = m_clock.now() - lastUpdate;
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(m_options.measurementDecayTime.count()));
}

} // namespace wisteriafork
