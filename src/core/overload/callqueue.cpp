#include "core/overload/callqueue.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

namespace {

bool isBlocked(const std::vector<bool> &blocked, std::size_t operation)
{
    return operation < blocked.size() && blocked[operation];
}

} // namespace

CallQueue::CallQueue(QueueOrder order, bool fair) : m_order(order), m_fair(fair)
{
    setTenants({1.0});
}

void CallQueue::setTenants(std::vector<double> weights)
{
    m_weights = std::move(weights);
    for (Rank &rank : m_ranks) {
        rank.lanes.resize(std::max(rank.lanes.size(), m_weights.size()));
    }
}

void CallQueue::push(const WaitingCall &call)
{
    Rank &rank = m_ranks[static_cast<std::size_t>(call.rank)];
    Lane &lane = rank.lanes[m_fair ? call.tenant : 0];
    if (lane.size == 0) {
        // A tenant that was idle does not catch up on turns that it did not use.
        lane.pass = std::max(lane.pass, rank.pass);
    }
    const Position position{.round = assignRound(lane, call.callerHash), .order = orderValue(call), .id = call.id};
    lane.byOperation[call.operation].insert(position);
    ++lane.size;
    ++rank.size;
    m_entries.emplace(call.id, Entry{.call = call, .position = position});
    m_deadlines.emplace(call.deadline, call.id);
    if (m_operationCounts.size() <= call.operation) {
        m_operationCounts.resize(call.operation + 1);
    }
    ++m_operationCounts[call.operation];
}

bool CallQueue::remove(CallId id)
{
    if (!m_entries.contains(id)) {
        return false;
    }
    take(id);
    return true;
}

std::optional<WaitingCall> CallQueue::pop(const std::vector<bool> &blocked)
{
    const Head critical = headOf(CallRank::Critical, blocked);
    const Head internal = headOf(CallRank::Internal, blocked);
    const bool internalFirst
        = internal.lane != nullptr && (critical.lane == nullptr || internal.position->order < critical.position->order);
    Head head = internalFirst ? internal : critical;
    for (const CallRank rank : {CallRank::Read, CallRank::Bulk}) {
        if (head.lane == nullptr) {
            head = headOf(rank, blocked);
        }
    }
    if (head.lane == nullptr) {
        return std::nullopt;
    }
    head.rank->pass = head.lane->pass;
    head.lane->pass += 1.0 / (head.tenant < m_weights.size() ? m_weights[head.tenant] : 1.0);
    head.lane->round = head.position->round;
    return take(head.position->id);
}

// The call of a rank that is next by the tenants' turns.
CallQueue::Head CallQueue::headOf(CallRank callRank, const std::vector<bool> &blocked)
{
    Rank &rank = m_ranks[static_cast<std::size_t>(callRank)];
    Head head{.rank = &rank};
    for (std::size_t tenant = 0; rank.size > 0 && tenant < rank.lanes.size(); ++tenant) {
        Lane &lane = rank.lanes[tenant];
        const Position *first = lane.size > 0 ? firstEligible(lane, blocked) : nullptr;
        if (first != nullptr && (head.lane == nullptr || lane.pass < head.lane->pass)) {
            head = {.rank = &rank, .lane = &lane, .tenant = tenant, .position = first};
        }
    }
    return head;
}

bool CallQueue::hasEligible(CallRank least, const std::vector<bool> &blocked) const
{
    for (auto index = static_cast<std::size_t>(least); index < RankCount; ++index) {
        if (m_ranks[index].size == 0) {
            continue;
        }
        for (const Lane &lane : m_ranks[index].lanes) {
            if (lane.size > 0 && firstEligible(lane, blocked) != nullptr) {
                return true;
            }
        }
    }
    return false;
}

std::optional<WaitingCall> CallQueue::takeLowestBelow(CallRank rank)
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(rank); ++index) {
        const Position *last = nullptr;
        for (const Lane &lane : m_ranks[index].lanes) {
            for (const auto &[operation, positions] : lane.byOperation) {
                if (!positions.empty() && (last == nullptr || *last < *positions.rbegin())) {
                    last = &*positions.rbegin();
                }
            }
        }
        if (last != nullptr) {
            return take(last->id);
        }
    }
    return std::nullopt;
}

std::optional<WaitingCall> CallQueue::takeExpired(TimePoint time, const std::function<bool(const WaitingCall &)> &mayTake)
{
    for (const auto &[deadline, id] : m_deadlines) {
        if (deadline >= time) {
            break;
        }
        if (mayTake(m_entries.at(id).call)) {
            return take(id);
        }
    }
    return std::nullopt;
}

std::size_t CallQueue::size() const
{
    return m_entries.size();
}

std::size_t CallQueue::countFrom(CallRank least) const
{
    std::size_t count = 0;
    for (auto index = static_cast<std::size_t>(least); index < RankCount; ++index) {
        count += m_ranks[index].size;
    }
    return count;
}

std::size_t CallQueue::countOfOperation(std::size_t operation) const
{
    return operation < m_operationCounts.size() ? m_operationCounts[operation] : 0;
}

std::uint64_t CallQueue::assignRound(Lane &lane, std::uint64_t callerHash) const
{
    if (!m_fair) {
        return 0;
    }
    CallerState &caller = lane.callers[callerHash];
    caller.lastRound = caller.waiting == 0 ? lane.round : std::max(lane.round, caller.lastRound + 1);
    ++caller.waiting;
    return caller.lastRound;
}

std::int64_t CallQueue::orderValue(const WaitingCall &call)
{
    ++m_sequence;
    switch (m_order) {
    case QueueOrder::Lifo:
        return -m_sequence;
    case QueueOrder::Deadline:
        return call.deadline.time_since_epoch().count();
    case QueueOrder::Fifo:
        break;
    }
    return m_sequence;
}

const CallQueue::Position *CallQueue::firstEligible(const Lane &lane, const std::vector<bool> &blocked) const
{
    const Position *first = nullptr;
    for (const auto &[operation, positions] : lane.byOperation) {
        if (!positions.empty() && !isBlocked(blocked, operation) && (first == nullptr || *positions.begin() < *first)) {
            first = &*positions.begin();
        }
    }
    return first;
}

WaitingCall CallQueue::take(CallId id)
{
    const auto found = m_entries.find(id);
    const Entry entry = found->second;
    m_entries.erase(found);
    Rank &rank = m_ranks[static_cast<std::size_t>(entry.call.rank)];
    Lane &lane = rank.lanes[m_fair ? entry.call.tenant : 0];
    lane.byOperation[entry.call.operation].erase(entry.position);
    --lane.size;
    --rank.size;
    --m_operationCounts[entry.call.operation];
    m_deadlines.erase({entry.call.deadline, id});
    const auto caller = lane.callers.find(entry.call.callerHash);
    if (caller != lane.callers.end() && --caller->second.waiting == 0) {
        lane.callers.erase(caller);
    }
    return entry.call;
}

} // namespace wisteriafork
