#include "observability/metric.h"

#include <array>
#include <cstddef>

namespace wisteriafork {

namespace {

template <std::size_t count>
using Names = std::array<std::string_view, count>;

constexpr Names<0> None{};
constexpr Names<1> Service{"service"};
constexpr Names<2> ServiceClass{"service", "class"};
constexpr Names<3> CallOutcome{"service", "class", "outcome"};
constexpr Names<4> RefusalLabels{"service", "class", "kind", "reason"};
constexpr Names<1> State{"state"};
constexpr Names<1> Direction{"direction"};
constexpr Names<1> MetricName{"metric"};

constexpr std::array Catalogue{
    MetricDescription{Metric::Calls, "wisteriafork_calls_total", MetricType::Counter,
                      "Calls by outcome: completed, replayed, refused or failed.", CallOutcome},
    MetricDescription{Metric::Refusals, "wisteriafork_refusals_total", MetricType::Counter, "Refused calls by kind and reason.",
                      RefusalLabels},
    MetricDescription{Metric::CallSeconds, "wisteriafork_call_seconds", MetricType::Histogram,
                      "Time from the arrival of a call to its complete response.", ServiceClass},
    MetricDescription{Metric::AddedSeconds, "wisteriafork_added_seconds", MetricType::Histogram,
                      "Part of the time of a call that was not spent in the backend server or in its queue.", Service},
    MetricDescription{Metric::DuplicatesSuppressed, "wisteriafork_duplicates_suppressed_total", MetricType::Counter,
                      "Resends that did not run again.", Service},
    MetricDescription{Metric::Retries, "wisteriafork_retries_total", MetricType::Counter, "Attempts after the first.", Service},
    MetricDescription{Metric::ConcurrencyLimit, "wisteriafork_concurrency_limit", MetricType::Gauge,
                      "Concurrency limit in force for the local backend server.", None},
    MetricDescription{Metric::Running, "wisteriafork_running_calls", MetricType::Gauge, "Calls running on the local backend server.", None},
    MetricDescription{Metric::Queued, "wisteriafork_queued_calls", MetricType::Gauge, "Calls queued for the local backend server.", None},
    MetricDescription{Metric::ConfigurationVersion, "wisteriafork_configuration_version", MetricType::Gauge,
                      "Version of the configuration in force; 0 before the first.", None},
    MetricDescription{Metric::ConfigurationHeldBack, "wisteriafork_configuration_held_back", MetricType::Gauge,
                      "1 while an invalid published configuration is held back.", None},
    MetricDescription{Metric::Members, "wisteriafork_members", MetricType::Gauge, "Known members by state.", State},
    MetricDescription{Metric::PeerConnections, "wisteriafork_peer_connections", MetricType::Gauge, "Open connections to other nodes.",
                      None},
    MetricDescription{Metric::ControlBytes, "wisteriafork_control_bytes_total", MetricType::Counter,
                      "Bytes of control messages, sent and received.", Direction},
    MetricDescription{Metric::OwnershipRecords, "wisteriafork_ownership_records", MetricType::Gauge,
                      "Records of request keys that are kept for their retention time.", None},
    MetricDescription{Metric::StoredAnswerBytes, "wisteriafork_stored_answer_bytes", MetricType::Gauge,
                      "Memory of stored answers in bytes.", None},
    MetricDescription{Metric::Draining, "wisteriafork_draining", MetricType::Gauge, "1 while the node drains.", None},
    MetricDescription{Metric::DroppedSeries, "wisteriafork_dropped_samples_total", MetricType::Counter,
                      "Samples dropped because a metric reached its bound on label combinations.", MetricName},
};

} // namespace

std::span<const MetricDescription> metricCatalogue()
{
    return Catalogue;
}

} // namespace wisteriafork
