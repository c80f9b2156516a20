#include "lab/loadreportwriter.h"

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <span>

#include <nlohmann/json.hpp>

namespace wisteriafork::lab {

namespace {

// Bounds of a recovered second, relative to the time before the surge.
constexpr double MinCompletedShareRatio = 0.95;
constexpr double MaxMedianLatencyRatio = 1.5;

struct WindowStatistics
{
    double completedShare = 0;
    double medianMs = 0;
};

double median(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

WindowStatistics summarise(std::span<const SecondResult> seconds)
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::vector<double> latencies;
    for (const SecondResult &second : seconds) {
        requests += second.requests;
        completed += second.completed;
        latencies.insert(latencies.end(), second.latenciesMs.begin(), second.latenciesMs.end());
    }
    const double share = requests == 0 ? 1.0 : static_cast<double>(completed) / static_cast<double>(requests);
    return {.completedShare = share, .medianMs = median(std::move(latencies))};
}

bool isRecovered(const SecondResult &second, const WindowStatistics &before)
{
    const WindowStatistics now = summarise({&second, 1});
    return now.completedShare >= MinCompletedShareRatio * before.completedShare && now.medianMs <= MaxMedianLatencyRatio * before.medianMs;
}

nlohmann::json operationJson(const OperationResult &result)
{
    return {{"requests", result.requests},       {"completed", result.completed}, {"mismatched", result.mismatched},
            {"abandoned", result.abandoned},     {"attempts", result.attempts},   {"refused", result.refused},
            {"otherErrors", result.otherErrors}, {"timeouts", result.timeouts}};
}

} // namespace

std::optional<unsigned> measureRecovery(const LoadResult &result, const LoadOptions &options)
{
    const auto busiest = std::max_element(options.phases.begin(), options.phases.end(),
                                          [](const LoadPhase &a, const LoadPhase &b) { return a.requestsPerSecond < b.requestsPerSecond; });
    if (options.phases.size() < 3 || busiest == options.phases.begin()) {
        return std::nullopt;
    }
    const auto secondsUpTo = [&](auto end) {
        return std::accumulate(options.phases.begin(), end, std::size_t{0},
                               [](std::size_t sum, const LoadPhase &phase) { return sum + phase.duration.count(); });
    };
    const std::size_t start = secondsUpTo(busiest);
    const std::size_t end = secondsUpTo(busiest + 1);
    const std::size_t total = std::min(secondsUpTo(options.phases.end()), result.seconds.size());
    if (start < 2 || end >= total) {
        return std::nullopt;
    }
    // Leaves out the first second, in which connections are opened.
    const WindowStatistics before = summarise(std::span(result.seconds).subspan(1, start - 1));
    std::size_t recovered = total;
    while (recovered > end && isRecovered(result.seconds[recovered - 1], before)) {
        --recovered;
    }
    if (recovered == total) {
        return std::nullopt;
    }
    return static_cast<unsigned>(recovered - end);
}

std::string writeJson(const LoadResult &result, const LoadOptions &options)
{
    nlohmann::json document;
    for (const auto &[name, operation] : result.operations) {
        document["operations"][name] = operationJson(operation);
    }
    for (const SecondResult &second : result.seconds) {
        document["seconds"].push_back({{"requests", second.requests},
                                       {"completed", second.completed},
                                       {"completions", second.completions},
                                       {"medianMs", median(second.latenciesMs)}});
    }
    const std::optional<unsigned> recovery = measureRecovery(result, options);
    document["recoverySeconds"] = recovery ? nlohmann::json(*recovery) : nlohmann::json();
    return document.dump(2);
}

std::string writeTable(const LoadResult &result, const LoadOptions &options)
{
    std::string table = "operation     requests completed  goodput  attempts/req  refused   errors  timeouts  abandoned mismatched\n";
    char line[256];
    for (const auto &[name, operation] : result.operations) {
        const double requests = std::max<double>(1.0, static_cast<double>(operation.requests));
        std::snprintf(line, sizeof(line), "%-12s %9llu %9llu %7.1f%% %13.2f %8llu %8llu %9llu %10llu %10llu\n", name.c_str(),
                      static_cast<unsigned long long>(operation.requests), static_cast<unsigned long long>(operation.completed),
                      100.0 * static_cast<double>(operation.completed) / requests, static_cast<double>(operation.attempts) / requests,
                      static_cast<unsigned long long>(operation.refused), static_cast<unsigned long long>(operation.otherErrors),
                      static_cast<unsigned long long>(operation.timeouts), static_cast<unsigned long long>(operation.abandoned),
                      static_cast<unsigned long long>(operation.mismatched));
        table += line;
    }
    const std::optional<unsigned> recovery = measureRecovery(result, options);
    table += recovery ? "recovery after the surge: " + std::to_string(*recovery) + " s\n"
                      : std::string("recovery after the surge: not reached\n");
    return table;
}

} // namespace wisteriafork::lab
