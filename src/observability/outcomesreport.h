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

// Outcomes are counted separately for each key.
struct OutcomeKey
{
    ServiceId service;
    CallClass callClass = CallClass::Read;
    WorkspaceId workspace;

    friend auto operator<=>(const OutcomeKey &, const OutcomeKey &) = default;
};

// Outcomes of the calls of one service, class and workspace since the node started, unless a field says otherwise.
struct OutcomeRow
{
    OutcomeKey key;
    // Calls whose caller got the successful response of a backend server.
    std::uint64_t completed = 0;
    // Calls that ended with neither success nor refusal: the caller got an error or has disconnected.
    std::uint64_t failed = 0;
    std::map<RefusalReason, std::uint64_t> refusals;
    // Completed calls per second, over the last 60 s or the time since the start if that is shorter.
    double goodputPerSecond = 0;
    // Calls per second that ended with any outcome, over the same time.
    double offeredPerSecond = 0;
    // Mean time from arrival to response of the completed calls; zero if there are none.
    Duration meanTime{0};
};

// The last overload of a service, measured from the calls of this node. All times are whole seconds.
struct OverloadRecord
{
    bool ongoing = false;
    // From the first second with more than 1% of calls refused for load until goodput and latency were within 5% of their values before the
    // overload, or until now while ongoing.
    Duration duration{0};
    // From the last second with over 20% more calls than before the overload until the same end. Resends count as calls. Equal to the
    // duration if there was no such surge.
    Duration recoveryTime{0};
    // False if the overload ended after 60 s without refusals although goodput and latency had not recovered.
    bool latencyRecovered = true;
    // Zero while ongoing.
    Duration timeSinceEnd{0};
};

struct OutcomesReport
{
    // Time since the node began to count.
    Duration coveredTime{0};
    // Ordered by key.
    std::vector<OutcomeRow> rows;
    // Only services that had an overload.
    std::map<ServiceId, OverloadRecord> lastOverloads;
};

} // namespace wisteriafork
