#pragma once

#include "core/base/clock.h"

#include <array>
#include <cstdint>
#include <string>

#include <boost/histogram.hpp>

namespace wisteriafork {

// Counters of a relay. `Count` is the number of counters.
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
    Overdue,
    UnknownKey,
    StaleConfiguration,
    OverQuota,
    QuotaQuestions,
    QuotaStandbyQuestions,
    QuotaLenderSilent,
    SuspectQuestions,
    SuspectDifferences,
    Count,
};

// Counters and latency histograms of a relay, as text in the exposition format of Prometheus. Not thread safe.
class RelayMetrics
{
public:
    RelayMetrics();

    void count(RelayCounter counter);
    // Records the time from the arrival of a request to its response.
    void recordResponseTime(Duration duration);
    // Records the time that the local backend server took for a request.
    void recordExecutionTime(Duration duration);
    // All counters and histograms in the text format.
    std::string text() const;

private:
    using Histogram = decltype(boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(40, 0.0001, 10.0, "seconds")));

    std::array<std::uint64_t, static_cast<std::size_t>(RelayCounter::Count)> m_counters{};
    Histogram m_responseTimes;
    Histogram m_executionTimes;
};

} // namespace wisteriafork
