#include "relay/relaymetrics.h"

#include "core/base/durationseconds.h"

#include <sstream>
#include <string_view>

namespace wisteriafork {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(RelayCounter::Count)> CounterNames{
    "caller_requests",
    "inner_calls",
    "succeeded",
    "failed_by_server",
    "refused_at_entry",
    "refused_later",
    "no_instance",
    "timed_out",
    "outcome_unknown",
    "no_route",
    "caller_gone",
    "repeats",
    "hedges",
    "served_for_peers",
    "refused_for_peers",
    "overdue",
    "unknown_key",
    "stale_configuration",
    "over_quota",
    "quota_questions",
    "quota_standby_questions",
    "quota_lender_silent",
    "suspect_questions",
    "suspect_differences",
};

template <typename Histogram>
void writeHistogram(std::ostream &out, std::string_view name, const Histogram &histogram)
{
    double total = 0.0;
    out << "# TYPE wisteriafork_relay_" << name << "_seconds histogram\n";
    for (auto &&bin : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
        total += *bin;
        out << "wisteriafork_relay_" << name << "_seconds_bucket{le=\"" << bin.bin().upper() << "\"} " << total << '\n';
    }
    out << "wisteriafork_relay_" << name << "_seconds_count " << total << '\n';
}

} // namespace

RelayMetrics::RelayMetrics()
    : m_responseTimes(boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(40, 0.0001, 10.0, "seconds")))
    , m_executionTimes(m_responseTimes)
{
}

void RelayMetrics::count(RelayCounter counter)
{
    ++m_counters[static_cast<std::size_t>(counter)];
}

void RelayMetrics::recordResponseTime(Duration duration)
{
    m_responseTimes(toSeconds(duration));
}

void RelayMetrics::recordExecutionTime(Duration duration)
{
    m_executionTimes(toSeconds(duration));
}

std::string RelayMetrics::text() const
{
    std::ostringstream out;
    for (std::size_t index = 0; index < m_counters.size(); ++index) {
        out << "# TYPE wisteriafork_relay_" << CounterNames[index] << "_total counter\nwisteriafork_relay_" << CounterNames[index]
            << "_total " << m_counters[index] << '\n';
    }
    writeHistogram(out, "answer", m_responseTimes);
    writeHistogram(out, "run", m_executionTimes);
    return out.str();
}

} // namespace wisteriafork
