#include "core/relay/servingqueue.h"

#include "core/base/durationseconds.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

// Weights of one request in the moving averages of the holding time: that of its route and that of all requests. The holding time of a
// request is the time for which it occupies a slot.
constexpr double RouteHoldingSampleWeight = 0.1;
constexpr double MeanHoldingSampleWeight = 0.03;
// Share of the mean holding time that must be left before the deadline of an inner call to start it. A response that is faster than the
// mean may still reach its parent in time.
constexpr double InnerCallHoldingShare = 0.5;
// Wait ratio that counts for a request that waited until it was too late to start.
constexpr double LateRequestWaitRatio = 10.0;

// Work that a request counts for whose holding time is not known yet.
constexpr double MinimumWorkSeconds = 0.001;

} // namespace

ServingQueue::ServingQueue(const ServingQueueOptions &options, const Clock &clock)
    : m_options(options), m_clock(clock), m_pressureController(options.pressure)
{
    setSlots(options.defaultSlots);
}

void ServingQueue::setSlots(unsigned slots)
{
    m_concurrencyLimit = std::max(1U, static_cast<unsigned>(std::floor(m_options.usableSlotShare * slots)));
}

void ServingQueue::setSlowdown(unsigned percent)
{
    m_meanSlowdownPercent += (m_meanSlowdownPercent <= 0.0 ? 1.0 : MeanHoldingSampleWeight) * (percent - m_meanSlowdownPercent);
    m_relativeSlowdown = percent / m_meanSlowdownPercent;
}

ServingDecision ServingQueue::offer(const ServingRequest &request)
{
    const Rank rank = rankOf(request);
    const Duration wait = expectedWait(rank, request);
    if (isTooLate(request, request.isInner ? Duration(0) : wait)) {
        return ServingDecision::RefuseLate;
    }
    const TimePoint now = m_clock.now();
    if (hasFreeSlot() && m_rankById.empty()) {
        start(request, now);
        return ServingDecision::Start;
    }
    const bool sheddable = !request.isInner && request.priority > 0;
    if (sheddable && toSeconds(wait) > m_options.maximumWaitShare * toSeconds(request.targetLatency)) {
        return ServingDecision::RefuseOverload;
    }
    enqueue(rank, request);
    m_rankById.emplace(request.id, rank);
    m_waitingSecondsByRank[rank] += toSeconds(holdingTime(request.route));
    return ServingDecision::Wait;
}

void ServingQueue::enqueue(Rank rank, const ServingRequest &request)
{
    std::list<Waiting> &list = m_waitingByRank[rank];
    Fairness &fairness = m_fairnessByRank[rank];
    if (list.empty()) {
        // Work that was done while nobody had to wait counts against no workspace.
        fairness = {};
    }
    Waiting waiting{.request = request, .arrivalTime = m_clock.now(), .startTag = startTagOf(rank, request)};
    if (!request.workspace.empty()) {
        fairness.nextTagByWorkspace[request.workspace]
            = waiting.startTag + std::max(MinimumWorkSeconds, toSeconds(holdingTime(request.route)));
    }
    auto position = list.end();
    while (position != list.begin() && std::prev(position)->startTag > waiting.startTag) {
        --position;
    }
    list.insert(position, std::move(waiting));
}

void ServingQueue::finish(CallId id, bool completed)
{
    const auto found = m_runningById.find(id);
    if (found == m_runningById.end()) {
        return;
    }
    if (completed) {
        const double holdingSeconds = toSeconds(m_clock.now() - found->second.startTime);
        const auto [known, added] = m_holdingSecondsByRoute.emplace(found->second.route, holdingSeconds);
        known->second += RouteHoldingSampleWeight * (holdingSeconds - known->second);
        m_meanHoldingSeconds += (m_meanHoldingSeconds <= 0.0 ? 1.0 : MeanHoldingSampleWeight) * (holdingSeconds - m_meanHoldingSeconds);
    }
    m_runningById.erase(found);
}

bool ServingQueue::withdraw(CallId id)
{
    const auto known = m_rankById.find(id);
    if (known == m_rankById.end()) {
        return false;
    }
    auto &list = m_waitingByRank[known->second];
    const auto entry = std::ranges::find(list, id, [](const Waiting &waiting) { return waiting.request.id; });
    double &workSeconds = m_waitingSecondsByRank[known->second];
    workSeconds = list.size() == 1 ? 0.0 : std::max(0.0, workSeconds - toSeconds(holdingTime(entry->request.route)));
    list.erase(entry);
    m_rankById.erase(known);
    return true;
}

std::vector<ServingQueue::Change> ServingQueue::poll()
{
    std::vector<Change> changes;
    std::vector<CallId> lateIds;
    for (const auto &[rank, list] : m_waitingByRank) {
        for (const Waiting &waiting : list) {
            if (isTooLate(waiting.request, Duration(0))) {
                lateIds.push_back(waiting.request.id);
            }
        }
    }
    for (const CallId id : lateIds) {
        m_waitRatioSum += LateRequestWaitRatio;
        ++m_waitRatioCount;
        withdraw(id);
        changes.push_back({.id = id, .decision = ServingDecision::RefuseLate});
    }
    for (auto &[rank, list] : m_waitingByRank) {
        while (hasFreeSlot() && !list.empty()) {
            const Waiting next = list.front();
            m_fairnessByRank[rank].virtualTime = next.startTag;
            withdraw(next.request.id);
            start(next.request, next.arrivalTime);
            changes.push_back({.id = next.request.id, .decision = ServingDecision::Start});
        }
    }
    return changes;
}

void ServingQueue::tick()
{
    double waitRatioSum = std::exchange(m_waitRatioSum, 0.0);
    unsigned waitRatioCount = std::exchange(m_waitRatioCount, 0);
    // The oldest waiting request of each rank counts too, because the wait must also be known when no request starts.
    for (const auto &[rank, list] : m_waitingByRank) {
        if (!list.empty()) {
            waitRatioSum += waitRatio(list.front().request, m_clock.now() - list.front().arrivalTime);
            ++waitRatioCount;
        }
    }
    m_pressureController.update(waitRatioCount == 0 ? 0.0 : waitRatioSum / waitRatioCount);
}

Duration ServingQueue::takeLongestWait()
{
    return std::exchange(m_longestWait, Duration(0));
}

Duration ServingQueue::holdingTime(const std::string &route) const
{
    const auto found = m_holdingSecondsByRoute.find(route);
    return found == m_holdingSecondsByRoute.end() ? Duration(0) : fromSeconds(found->second);
}

ServingReport ServingQueue::report() const
{
    return {.concurrencyLimit = m_concurrencyLimit,
            .runningRequests = static_cast<std::uint32_t>(m_runningById.size()),
            .queuedRequests = static_cast<std::uint32_t>(m_rankById.size()),
            .holdingTime = fromSeconds(m_meanHoldingSeconds),
            .pressure = m_pressureController.pressure()};
}

ServingQueue::Rank ServingQueue::rankOf(const ServingRequest &request)
{
    return 2 * request.priority + (request.isInner ? 0 : 1);
}

bool ServingQueue::hasFreeSlot() const
{
    return m_runningById.size() < m_concurrencyLimit;
}

void ServingQueue::start(const ServingRequest &request, TimePoint arrivalTime)
{
    const TimePoint now = m_clock.now();
    m_longestWait = std::max<Duration>(m_longestWait, now - arrivalTime);
    m_waitRatioSum += waitRatio(request, now - arrivalTime);
    ++m_waitRatioCount;
    m_runningById.emplace(request.id, Running{.route = request.route, .startTime = now});
}

double ServingQueue::waitRatio(const ServingRequest &request, Duration wait) const
{
    return toSeconds(wait) / std::max(1e-3, m_options.allowedMeanWaitShare * toSeconds(request.targetLatency));
}

Duration ServingQueue::expectedWait(Rank rank, const ServingRequest &request) const
{
    if (hasFreeSlot()) {
        return Duration(0);
    }
    double workSeconds = 0.0;
    for (const auto &[waitingRank, waitingSeconds] : m_waitingSecondsByRank) {
        workSeconds += waitingRank < rank || (waitingRank == rank && request.workspace.empty()) ? waitingSeconds : 0.0;
    }
    if (const auto own = m_waitingByRank.find(rank); own != m_waitingByRank.end() && !request.workspace.empty()) {
        // Requests of workspaces that have had more than their share start later.
        const double tag = startTagOf(rank, request);
        for (const Waiting &waiting : own->second) {
            workSeconds += waiting.startTag <= tag ? toSeconds(holdingTime(waiting.request.route)) : 0.0;
        }
    }
    return fromSeconds(workSeconds * m_relativeSlowdown / m_concurrencyLimit);
}

double ServingQueue::startTagOf(Rank rank, const ServingRequest &request) const
{
    const auto fairness = m_fairnessByRank.find(rank);
    if (fairness == m_fairnessByRank.end()) {
        return 0.0;
    }
    const auto next = fairness->second.nextTagByWorkspace.find(request.workspace);
    return next == fairness->second.nextTagByWorkspace.end() ? fairness->second.virtualTime
                                                             : std::max(fairness->second.virtualTime, next->second);
}

bool ServingQueue::isTooLate(const ServingRequest &request, Duration wait) const
{
    const double share = request.isInner ? InnerCallHoldingShare : 1.0;
    return m_clock.now() + wait + fromSeconds(share * toSeconds(holdingTime(request.route))) > request.deadline;
}

} // namespace wisteriafork
