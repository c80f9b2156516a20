#include "core/relay/servingqueue.h"

#include "core/base/durationseconds.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

// Weight of one request in the mean holding time of its route.
constexpr double HoldingWeight = 0.1;
constexpr double MeanHoldingWeight = 0.03;
// Part of the mean holding time that must be left for an inner call to start: its parent may still use a quick answer.
constexpr double InnerShare = 0.5;
// Relative wait that a request counts for which has waited until it was too late.
constexpr double LateWait = 10.0;

} // namespace

ServingQueue::ServingQueue(const ServingQueueOptions &options, const Clock &clock)
    : m_options(options), m_clock(clock), m_pressure(options.pressure)
{
    setSlots(options.assumedSlots);
}

void ServingQueue::setSlots(unsigned slots)
{
    m_limit = std::max(1U, static_cast<unsigned>(std::floor(m_options.usedSlots * slots)));
}

ServingDecision ServingQueue::offer(const ServingRequest &request)
{
    const Rank rank = rankOf(request);
    const Duration wait = expectedWait(rank);
    if (isTooLate(request, request.inner ? Duration(0) : wait)) {
        return ServingDecision::RefuseLate;
    }
    const TimePoint now = m_clock.now();
    if (hasFreeSlot() && m_rankOf.empty()) {
        start(request, now);
        return ServingDecision::Start;
    }
    const bool sheddable = !request.inner && request.priority > 0;
    if (sheddable && toSeconds(wait) > m_options.waitShare * toSeconds(request.targetLatency)) {
        return ServingDecision::RefuseOverload;
    }
    m_waiting[rank].push_back({.request = request, .arrived = now});
    m_rankOf.emplace(request.id, rank);
    m_waitingWork[rank] += toSeconds(holdingTime(request.route));
    return ServingDecision::Wait;
}

void ServingQueue::finish(CallId id, bool completed)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    if (completed) {
        const double held = toSeconds(m_clock.now() - found->second.started);
        const auto [known, added] = m_holding.emplace(found->second.route, held);
        known->second += HoldingWeight * (held - known->second);
        m_meanHolding += (m_meanHolding <= 0.0 ? 1.0 : MeanHoldingWeight) * (held - m_meanHolding);
    }
    m_running.erase(found);
}

bool ServingQueue::withdraw(CallId id)
{
    const auto known = m_rankOf.find(id);
    if (known == m_rankOf.end()) {
        return false;
    }
    auto &list = m_waiting[known->second];
    const auto entry = std::ranges::find(list, id, [](const Waiting &waiting) { return waiting.request.id; });
    double &work = m_waitingWork[known->second];
    work = list.size() == 1 ? 0.0 : std::max(0.0, work - toSeconds(holdingTime(entry->request.route)));
    list.erase(entry);
    m_rankOf.erase(known);
    return true;
}

std::vector<ServingQueue::Change> ServingQueue::poll()
{
    std::vector<Change> changes;
    std::vector<CallId> late;
    for (const auto &[rank, list] : m_waiting) {
        for (const Waiting &waiting : list) {
            if (isTooLate(waiting.request, Duration(0))) {
                late.push_back(waiting.request.id);
            }
        }
    }
    for (const CallId id : late) {
        m_relativeWaits += LateWait;
        ++m_starts;
        withdraw(id);
        changes.push_back({.id = id, .decision = ServingDecision::RefuseLate});
    }
    for (auto &[rank, list] : m_waiting) {
        while (hasFreeSlot() && !list.empty()) {
            const Waiting next = list.front();
            withdraw(next.request.id);
            start(next.request, next.arrived);
            changes.push_back({.id = next.request.id, .decision = ServingDecision::Start});
        }
    }
    return changes;
}

void ServingQueue::tick()
{
    double waits = std::exchange(m_relativeWaits, 0.0);
    unsigned starts = std::exchange(m_starts, 0);
    // Where nothing starts, the oldest waiting request tells how long the wait is.
    for (const auto &[rank, list] : m_waiting) {
        if (!list.empty()) {
            waits += relativeWait(list.front().request, m_clock.now() - list.front().arrived);
            ++starts;
        }
    }
    m_pressure.update(starts == 0 ? 0.0 : waits / starts);
}

Duration ServingQueue::takeLongestWait()
{
    return std::exchange(m_greatestWait, Duration(0));
}

Duration ServingQueue::holdingTime(const std::string &route) const
{
    const auto found = m_holding.find(route);
    return found == m_holding.end() ? Duration(0) : fromSeconds(found->second);
}

ServingReport ServingQueue::report() const
{
    return {.concurrencyLimit = m_limit,
            .runningRequests = static_cast<std::uint32_t>(m_running.size()),
            .queuedRequests = static_cast<std::uint32_t>(m_rankOf.size()),
            .holdingTime = fromSeconds(m_meanHolding),
            .pressure = m_pressure.pressure()};
}

ServingQueue::Rank ServingQueue::rankOf(const ServingRequest &request)
{
    return 2 * request.priority + (request.inner ? 0 : 1);
}

bool ServingQueue::hasFreeSlot() const
{
    return m_running.size() < m_limit;
}

void ServingQueue::start(const ServingRequest &request, TimePoint arrived)
{
    const TimePoint now = m_clock.now();
    m_greatestWait = std::max<Duration>(m_greatestWait, now - arrived);
    m_relativeWaits += relativeWait(request, now - arrived);
    ++m_starts;
    m_running.emplace(request.id, Running{.route = request.route, .started = now});
}

double ServingQueue::relativeWait(const ServingRequest &request, Duration wait) const
{
    return toSeconds(wait) / std::max(1e-3, m_options.allowedWait * toSeconds(request.targetLatency));
}

Duration ServingQueue::expectedWait(Rank rank) const
{
    if (hasFreeSlot()) {
        return Duration(0);
    }
    double work = 0.0;
    for (const auto &[waitingRank, waitingWork] : m_waitingWork) {
        work += waitingRank <= rank ? waitingWork : 0.0;
    }
    return fromSeconds(work / m_limit);
}

bool ServingQueue::isTooLate(const ServingRequest &request, Duration wait) const
{
    const double share = request.inner ? InnerShare : 1.0;
    return m_clock.now() + wait + fromSeconds(share * toSeconds(holdingTime(request.route))) > request.deadline;
}

} // namespace wisteriafork
