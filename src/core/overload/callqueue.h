#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/overload/queueorder.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// Importance of a waiting call, in the order of shedding. Internal calls of admitted reads are shed before critical calls, but both are
// served in their common order: work was already spent on the requests of internal calls, which a stream of critical calls would starve.
enum class CallRank : std::uint8_t {
    Bulk = 0,
    Read = 1,
    Internal = 2,
    Critical = 3,
};
inline constexpr std::size_t RankCount = 4;

struct WaitingCall
{
    CallId id = 0;
    CallRank rank = CallRank::Read;
    // Index into the weights given to `setTenants()`.
    std::size_t tenant = 0;
    // Index of the operation; calls of a blocked operation are passed over.
    std::size_t operation = 0;
    std::uint64_t callerHash = 0;
    // Made on behalf of an admitted request.
    bool internal = false;
    TimePoint deadline;
};

// Waiting calls of one instance. Critical and internal calls come first, then reads, then bulk; within a rank tenants take turns by weight
// (stride scheduling), and within a tenant callers take turns: the n-th waiting call of a caller belongs to round n, and a round is served
// before the next. The queue order decides within a round.
class CallQueue
{
public:
    CallQueue(QueueOrder order, bool fair);

    // Weights by tenant index, greater than zero. Waiting calls are kept; they must refer to tenants below the new count.
    void setTenants(std::vector<double> weights);

    void push(const WaitingCall &call);
    bool remove(CallId id);

    // Takes the next call among the operations that are not blocked.
    std::optional<WaitingCall> pop(const std::vector<bool> &blocked);
    // True if a call of this rank or above waits whose operation is not blocked.
    bool hasEligible(CallRank least, const std::vector<bool> &blocked) const;

    // Takes the call that would be served last among the ranks below `rank`.
    std::optional<WaitingCall> takeLowestBelow(CallRank rank);
    // Takes the first call whose deadline is before `time` and that may be taken.
    std::optional<WaitingCall> takeExpired(TimePoint time, const std::function<bool(const WaitingCall &)> &mayTake);

    std::size_t size() const;
    std::size_t countFrom(CallRank least) const;
    std::size_t countOfOperation(std::size_t operation) const;

private:
    struct Position
    {
        std::uint64_t round = 0;
        std::int64_t order = 0;
        CallId id = 0;
        friend auto operator<=>(const Position &, const Position &) = default;
    };
    struct CallerState
    {
        std::uint64_t lastRound = 0;
        std::size_t waiting = 0;
    };
    // Waiting calls of one tenant in one rank.
    struct Lane
    {
        double pass = 0.0;
        std::uint64_t round = 0;
        std::size_t size = 0;
        std::map<std::size_t, std::set<Position>> byOperation;
        std::unordered_map<std::uint64_t, CallerState> callers;
    };
    struct Rank
    {
        std::vector<Lane> lanes;
        double pass = 0.0;
        std::size_t size = 0;
    };
    struct Head
    {
        Rank *rank = nullptr;
        Lane *lane = nullptr;
        std::size_t tenant = 0;
        const Position *position = nullptr;
    };
    struct Entry
    {
        WaitingCall call;
        Position position;
    };

    std::uint64_t assignRound(Lane &lane, std::uint64_t callerHash) const;
    std::int64_t orderValue(const WaitingCall &call);
    const Position *firstEligible(const Lane &lane, const std::vector<bool> &blocked) const;
    Head headOf(CallRank callRank, const std::vector<bool> &blocked);
    WaitingCall take(CallId id);

    QueueOrder m_order;
    bool m_fair;
    std::vector<double> m_weights{1.0};
    std::array<Rank, RankCount> m_ranks;
    std::unordered_map<CallId, Entry> m_entries;
    std::set<std::pair<TimePoint, CallId>> m_deadlines;
    std::vector<std::size_t> m_operationCounts;
    std::int64_t m_sequence = 0;
};

} // namespace wisteriafork
