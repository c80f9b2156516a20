#pragma once

#include "core/base/clock.h"

#include <cstdint>
#include <vector>

namespace wisteriafork::lab {

// Counts of one interval of virtual time.
struct ModelInterval
{
    // Requests that callers began, sends with resends, and requests completed.
    std::uint64_t begun = 0;
    std::uint64_t sends = 0;
    std::uint64_t complete = 0;
    // Sum of the times from the last send to the complete answer, in seconds.
    double latency = 0.0;
    std::uint64_t refusedAtEdge = 0;
    // Backend server runs, and places of call trees that ran for the first time.
    std::uint64_t runs = 0;
    std::uint64_t firstRuns = 0;
    std::uint64_t internalCalls = 0;
    std::uint64_t internalShed = 0;
    std::uint64_t criticalsRefused = 0;
    // Critical calls refused for load within 100 ms of an admitted read of the same service.
    std::uint64_t criticalsRefusedBesideReads = 0;
    // Work of servers, and the part of it done for sends that failed, in seconds, at the time when it was done or lost.
    double work = 0.0;
    double wasted = 0.0;
    // Sum of the queues of all nodes at the end of the interval.
    std::uint64_t queued = 0;
};

struct ModelMetrics
{
    Duration interval = std::chrono::milliseconds(500);
    std::vector<ModelInterval> intervals;
    // Most runs at one place of the call tree, and in the whole tree, for one send.
    std::uint64_t mostRunsAtPlace = 0;
    std::uint64_t mostRunsOfSend = 0;
    std::uint64_t events = 0;
};

// Sums of the intervals that begin in [from, to) after the start.
ModelInterval sum(const ModelMetrics &metrics, Duration from, Duration to);

} // namespace wisteriafork::lab
