#pragma once

#include "core/base/clock.h"

#include <array>
#include <cstdint>
#include <string>

#include <boost/histogram.hpp>

namespace wisteriafork {

// What a relay counts.
enum class RelayCounter : std::uint8_t {
    CallerRequests,
    InnerCalls,
    Succeeded,
    FailedByServer,
    RefusedAtEntry,
    RefusedLater,
    NoInstance,
    TimedOut,
    OutcomeUnknown,
    NoRoute,
    CallerGone,
    Repeats,
    Hedges,
    ServedForPeers,
    RefusedForPeers,
    Count,
};

// Counters and latency histograms of a relay, as text in the exposition format of Prometheus. Not thread safe.
class RelayMetrics
{
public:
    RelayMetrics();

    void count(RelayCounter counter);
    // Time from the arrival of a request to its answer.
    void recordResponseTime(Duration duration);
    // Time that an instance took for a request.
    void recordExecutionTime(Duration duration);
    std::string text() const;

private:
    using Histogram = decltype(boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(40, 0.0001, 10.0, "seconds")));

    std::array<std::uint64_t, static_cast<std::size_t>(RelayCounter::Count)> m_counters{};
    Histogram m_responseTimes;
    Histogram m_executionTimes;
};

} // namespace wisteriafork
