#include "overload/bounds.h"
#include "overload/scenario.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <future>
#include <regex>
#include <string>
#include <string_view>
#include <vector>

#include <getopt.h>
#include <nlohmann/json.hpp>

using namespace wisteriafork;
using namespace wisteriafork::bench;

namespace {

struct Arguments
{
    bool shortVersion = false;
    unsigned jobs = 1;
    std::uint64_t seed = 20261204;
    std::string only;
    std::string check;
    std::string order = "fifo";
    std::string json;
    std::string series;
};

constexpr const char *Usage
    = "usage: overload_bench [--short] [--jobs N] [--seed N] [--only TEXT] [--check TEXT] [--order fifo|lifo|deadline]\n"
      "                      [--json FILE] [--series DIRECTORY]\n"
      "Runs the overload scenarios in virtual time, prints a table and checks the bounds of the design.\n"
      "--only selects scenarios by a part of their names, --check bounds by a regular expression; --order sets the queue order.\n"
      "Exit status: 0 if all bounds hold, 1 if one does not, 2 on wrong arguments.\n";

bool parse(int argc, char **argv, Arguments &arguments)
{
    const option longOptions[] = {
        {"short", no_argument, nullptr, 's'},       {"jobs", required_argument, nullptr, 'j'},  {"seed", required_argument, nullptr, 'e'},
        {"only", required_argument, nullptr, 'o'},  {"json", required_argument, nullptr, 'f'},  {"series", required_argument, nullptr, 'd'},
        {"check", required_argument, nullptr, 'c'}, {"order", required_argument, nullptr, 'q'}, {nullptr, 0, nullptr, 0}};
    for (int found = 0; (found = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        switch (found) {
        case 's':
            arguments.shortVersion = true;
            break;
        case 'j':
            arguments.jobs = std::max(1U, static_cast<unsigned>(std::strtoul(optarg, nullptr, 10)));
            break;
        case 'e':
            arguments.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'o':
            arguments.only = optarg;
            break;
        case 'c':
            arguments.check = optarg;
            break;
        case 'q':
            arguments.order = optarg;
            break;
        case 'f':
            arguments.json = optarg;
            break;
        case 'd':
            arguments.series = optarg;
            break;
        default:
            return false;
        }
    }
    return optind == argc && (arguments.order == "fifo" || arguments.order == "lifo" || arguments.order == "deadline");
}

// Runs all scenarios, `jobs` at a time. Each run is independent of the others and of the wall clock.
std::vector<ScenarioResult> runAll(const std::vector<Scenario> &scenarios, unsigned jobs)
{
    std::vector<ScenarioResult> results(scenarios.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::future<void>> workers;
    for (unsigned worker = 0; worker < jobs; ++worker) {
        workers.push_back(std::async(std::launch::async, [&] {
            for (std::size_t index = next++; index < scenarios.size(); index = next++) {
                results[index] = run(scenarios[index]);
            }
        }));
    }
    for (std::future<void> &worker : workers) {
        worker.get();
    }
    return results;
}

void printRow(const ScenarioResult &result)
{
    std::printf("%-28s %-12s %8.1f %7.3f %8.1f %7.3f %7.3f %8.2f %5lu %9lu %9lu %8.4f %7.3f\n", result.name.c_str(), result.policy.c_str(),
                result.capacity, result.goodput, result.recoverySeconds, result.latencyBefore, result.latencyDuring, result.attempts,
                result.mostRunsOfSend, result.criticalsRefused, result.criticalsRefusedBesideReads, result.internalShedShare,
                result.wastedShare);
}

nlohmann::json toJson(const ScenarioResult &result, const std::vector<BoundCheck> &checks)
{
    nlohmann::json entry{{"name", result.name},
                         {"policy", result.policy},
                         {"capacity_per_s", result.capacity},
                         {"goodput", result.goodput},
                         {"recovery_s", result.recoverySeconds},
                         {"latency_before_s", result.latencyBefore},
                         {"latency_during_s", result.latencyDuring},
                         {"attempts_mean", result.attempts},
                         {"runs_of_one_send_max", result.mostRunsOfSend},
                         {"criticals_refused", result.criticalsRefused},
                         {"criticals_refused_beside_reads", result.criticalsRefusedBesideReads},
                         {"internal_shed_share", result.internalShedShare},
                         {"wasted_share", result.wastedShare},
                         {"events", result.events},
                         {"bounds", nlohmann::json::array()}};
    for (const BoundCheck &check : checks) {
        entry["bounds"].push_back({{"what", check.what}, {"measured", check.measured}, {"bound", check.bound}, {"passed", check.passed}});
    }
    return entry;
}

// Goodput over time as columns: second, complete requests per second as a share of capacity, mean latency in seconds.
void writeSeries(const std::string &directory, const ScenarioResult &result)
{
    std::string file = result.name + "-" + result.policy;
    std::replace_if(
        file.begin(), file.end(), [](char letter) { return letter == ' ' || letter == ','; }, '-');
    std::ofstream out(directory + "/" + file + ".dat");
    for (std::size_t index = 0; index + 1 < result.metrics.intervals.size(); index += 2) {
        const Duration start = static_cast<int>(index) * result.metrics.interval;
        const lab::ModelInterval part = lab::sum(result.metrics, start, start + 2 * result.metrics.interval);
        const double latency = part.complete == 0 ? 0.0 : part.latency / static_cast<double>(part.complete);
        out << std::chrono::duration<double>(start).count() << ' ' << static_cast<double>(part.complete) / result.capacity << ' ' << latency
            << ' ' << part.sends << ' ' << part.refusedAtEdge << ' ' << part.criticalsRefused << ' ' << part.queued << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    if (!parse(argc, argv, arguments)) {
        std::fputs(Usage, stderr);
        return 2;
    }
    std::vector<Scenario> scenarios = allScenarios(arguments.shortVersion);
    std::erase_if(scenarios, [&](const Scenario &scenario) {
        const std::string label = scenario.name + " " + (scenario.passThrough ? "pass-through" : "today");
        return label.find(arguments.only) == std::string::npos;
    });
    for (Scenario &scenario : scenarios) {
        scenario.seed = arguments.seed;
        scenario.options.admission.order = arguments.order == "lifo" ? QueueOrder::Lifo
            : arguments.order == "deadline"                          ? QueueOrder::Deadline
                                                                     : QueueOrder::Fifo;
    }
    const std::vector<ScenarioResult> results = runAll(scenarios, arguments.jobs);
    std::printf("%-28s %-12s %8s %7s %8s %7s %7s %8s %5s %9s %9s %8s %7s\n", "scenario", "policy", "cap/s", "goodput", "recov s", "lat0 s",
                "lat s", "attempts", "runs", "crit ref", "beside", "int shed", "wasted");
    nlohmann::json json{{"seed", arguments.seed}, {"runs", nlohmann::json::array()}};
    bool allPassed = true;
    std::string failures;
    for (std::size_t index = 0; index < results.size(); ++index) {
        printRow(results[index]);
        std::vector<BoundCheck> checks;
        if (!scenarios[index].passThrough) {
            checks = checkBounds(scenarios[index], results[index]);
            std::erase_if(checks, [&](const BoundCheck &check) { return !std::regex_search(check.what, std::regex(arguments.check)); });
        }
        for (const BoundCheck &check : checks) {
            if (!check.passed) {
                allPassed = false;
                failures += "bound missed: " + results[index].name + ": " + check.what + ": measured " + std::to_string(check.measured)
                    + ", bound " + std::to_string(check.bound) + "\n";
            }
        }
        json["runs"].push_back(toJson(results[index], checks));
        if (!arguments.series.empty()) {
            writeSeries(arguments.series, results[index]);
        }
    }
    std::fputs(failures.empty() ? "all bounds hold\n" : failures.c_str(), stdout);
    if (!arguments.json.empty()) {
        std::ofstream(arguments.json) << json.dump(2) << '\n';
    }
    return allPassed ? 0 : 1;
}
