#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace wisteriafork {

// The metrics of a node. Names, labels and help texts are in the table of `metricCatalogue`.
enum class Metric : std::uint8_t {
    Calls,
    Refusals,
    CallSeconds,
    AddedSeconds,
    DuplicatesSuppressed,
    Retries,
    ConcurrencyLimit,
    Running,
    Queued,
    ConfigurationVersion,
    ConfigurationHeldBack,
    Members,
    PeerConnections,
    ControlBytes,
    OwnershipRecords,
    StoredAnswerBytes,
    Draining,
    DroppedSeries,
};

enum class MetricType : std::uint8_t {
    Counter,
    Gauge,
    Histogram,
};

struct MetricDescription
{
    Metric metric;
    std::string_view name;
    MetricType type;
    std::string_view help;
    // Names of the labels in the order in which values are passed.
    std::span<const std::string_view> labels;
};

// All metrics, in the order of the enumeration.
std::span<const MetricDescription> metricCatalogue();

} // namespace wisteriafork
