#include "observability/metrics.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace wisteriafork {

namespace {

namespace histograms = boost::histogram;

// Most label combinations per metric: 890 services by 3 classes would exceed it, but a node sees only the services that it calls.
constexpr std::size_t MaximumSeries = 1000;

// Upper bounds of the buckets in seconds, from well below the allowed added time of 0.42 ms to the waiting time of callers.
constexpr std::array Bounds{0.0001, 0.0002, 0.0004, 0.0008, 0.0016, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0};

using TimeAxis = histograms::axis::variable<double>;

TimeAxis timeAxis()
{
    std::vector<double> edges{0.0};
    edges.insert(edges.end(), Bounds.begin(), Bounds.end());
    return TimeAxis(edges);
}

using TimeHistogram = decltype(histograms::make_histogram(std::declval<TimeAxis>()));

struct Series
{
    double value = 0;
    double sum = 0;
    std::unique_ptr<TimeHistogram> histogram;
};

std::string escapeLabel(std::string_view value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            text += '\\';
            text += character;
        } else if (character == '\n') {
            text += "\\n";
        } else {
            text += character;
        }
    }
    return text;
}

std::string labelText(const MetricDescription &description, Metrics::LabelValues values)
{
    std::string text;
    auto value = values.begin();
    for (const std::string_view name : description.labels) {
        text += text.empty() ? "" : ",";
        text += name;
        text += "=\"";
        text += value != values.end() ? escapeLabel(*value++) : std::string();
        text += "\"";
    }
    return text;
}

std::string number(double value)
{
    std::ostringstream text;
    text.precision(15);
    text << value;
    return text.str();
}

std::string braces(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

void exposeHistogram(std::string &text, const MetricDescription &description, const std::string &labels, const Series &series)
{
    const std::string name(description.name);
    const std::string prefix = labels.empty() ? std::string() : labels + ",";
    double cumulative = series.histogram->at(-1);
    for (std::size_t index = 0; index < Bounds.size(); ++index) {
        cumulative += series.histogram->at(static_cast<int>(index));
        text.append(name).append("_bucket{").append(prefix).append("le=\"").append(number(Bounds[index])).append("\"} ");
        text.append(number(cumulative)).append("\n");
    }
    cumulative += series.histogram->at(static_cast<int>(Bounds.size()));
    text += name + "_bucket{" + prefix + "le=\"+Inf\"} " + number(cumulative) + "\n";
    text += name + "_sum" + braces(labels) + " " + number(series.sum) + "\n";
    text += name + "_count" + braces(labels) + " " + number(cumulative) + "\n";
}

std::string_view typeName(MetricType type)
{
    switch (type) {
    case MetricType::Counter:
        return "counter";
    case MetricType::Gauge:
        return "gauge";
    case MetricType::Histogram:
        return "histogram";
    }
    return "untyped";
}

} // namespace

class Metrics::Private
{
public:
    using SeriesMap = std::map<std::string, Series>;

    Private() : series(metricCatalogue().size())
    {
    }

    // Series of a label combination; null if the metric has reached its bound. The lock must be held.
    Series *find(Metric metric, LabelValues labels)
    {
        const MetricDescription &description = metricCatalogue()[static_cast<std::size_t>(metric)];
        SeriesMap &all = series[static_cast<std::size_t>(metric)];
        std::string text = labelText(description, labels);
        if (const auto found = all.find(text); found != all.end()) {
            return &found->second;
        }
        if (all.size() >= MaximumSeries) {
            const MetricDescription &dropped = metricCatalogue()[static_cast<std::size_t>(Metric::DroppedSeries)];
            series[static_cast<std::size_t>(Metric::DroppedSeries)][labelText(dropped, {description.name})].value += 1;
            return nullptr;
        }
        return &all[std::move(text)];
    }

    mutable std::mutex mutex;
    // By metric, then by label text.
    std::vector<SeriesMap> series;
};

Metrics::Metrics() : m_d(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::add(Metric metric, LabelValues labels, double amount)
{
    const std::lock_guard lock(m_d->mutex);
    if (Series *series = m_d->find(metric, labels)) {
        series->value += amount;
    }
}

void Metrics::set(Metric metric, double value, LabelValues labels)
{
    const std::lock_guard lock(m_d->mutex);
    if (Series *series = m_d->find(metric, labels)) {
        series->value = value;
    }
}

void Metrics::observe(Metric metric, std::chrono::nanoseconds time, LabelValues labels)
{
    const std::lock_guard lock(m_d->mutex);
    if (Series *series = m_d->find(metric, labels)) {
        if (!series->histogram) {
            series->histogram = std::make_unique<TimeHistogram>(histograms::make_histogram(timeAxis()));
        }
        const double seconds = std::chrono::duration<double>(time).count();
        (*series->histogram)(seconds);
        series->sum += seconds;
    }
}

std::string Metrics::expose() const
{
    const std::lock_guard lock(m_d->mutex);
    std::string text;
    for (const MetricDescription &description : metricCatalogue()) {
        const std::string name(description.name);
        text += "# HELP " + name + " " + std::string(description.help) + "\n";
        text += "# TYPE " + name + " " + std::string(typeName(description.type)) + "\n";
        for (const auto &[labels, series] : m_d->series[static_cast<std::size_t>(description.metric)]) {
            if (series.histogram) {
                exposeHistogram(text, description, labels, series);
            } else if (description.type != MetricType::Histogram) {
                text += name + braces(labels) + " " + number(series.value) + "\n";
            }
        }
    }
    return text;
}

} // namespace wisteriafork
