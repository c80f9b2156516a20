#pragma once

#include "observability/metric.h"

#include <chrono>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace wisteriafork {

// Counters, gauges and histograms of one node. Thread safe by its own lock, number 4 of the lock order. The number of label combinations
// per metric is bounded, so that a caller cannot fill the memory with invented names.
class Metrics
{
public:
    using LabelValues = std::initializer_list<std::string_view>;

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // Adds to a counter. Label values are given in the order of the catalogue.
    void add(Metric metric, LabelValues labels = {}, double amount = 1);

    // Sets a gauge.
    void set(Metric metric, double value, LabelValues labels = {});

    // Adds one time to a histogram.
    void observe(Metric metric, std::chrono::nanoseconds time, LabelValues labels = {});

    // All metrics in the text exposition format, version 0.0.4.
    std::string expose() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace wisteriafork
