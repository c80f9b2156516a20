#pragma once

#include "core/base/callclass.h"
#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/base/refusal.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wisteriafork {

// What outcomes are counted by.
struct OutcomeKey
{
    ServiceId service;
    CallClass callClass = CallClass::Read;
    WorkspaceId workspace;

    friend auto operator<=>(const OutcomeKey &, const OutcomeKey &) = default;
};

// Outcomes of the calls of one service, class and workspace since the node started.
struct OutcomeRow
{
    OutcomeKey key;
    // Whole responses that reached their caller.
    std::uint64_t completed = 0;
    // Calls that got neither a whole response nor a refusal: connection broken, caller gone.
    std::uint64_t failed = 0;
    std::map<RefusalReason, std::uint64_t> refusals;
    // Whole responses per second and calls that ended per second, over the last 60 s at most.
    double goodputPerSecond = 0;
    double offeredPerSecond = 0;
    // Mean time of the completed calls.
    Duration meanTime{0};
};

// The last overload of a service as seen from this node.
struct OverloadRecord
{
    bool ongoing = false;
    // From the first second with refusals for load until goodput and latency were back to within 5% of their earlier values.
    Duration duration{0};
    // From the last second in which more calls came than before the overload (by 20%; resends count as calls) until the same moment.
    // Equal to the duration if the number of calls never rose.
    Duration recovery{0};
    // False if latency stayed at another level for 60 s without refusals, which ends the overload as well.
    bool latencyRecovered = true;
    // Time since the end; zero while ongoing.
    Duration endedAgo{0};
};

struct OutcomesReport
{
    // Time since counting began.
    Duration covered{0};
    std::vector<OutcomeRow> rows;
    std::map<ServiceId, OverloadRecord> lastOverloads;
};

} // namespace wisteriafork
