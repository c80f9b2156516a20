#include "fleet/invariantchecks.h"
#include "lab/commandline.h"
#include "lab/faults/faultsoak.h"
#include "lab/loadgenerator.h"
#include "lab/loadreportwriter.h"
#include "lab/standinserver.h"
#include "lab/statscollector.h"

#include <cinttypes>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <string_view>

using namespace wisteriafork;
using namespace wisteriafork::lab;

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

int reportFindings(const std::vector<Finding> &findings)
{
    for (const Finding &finding : findings) {
        std::fprintf(stderr, "wisteriafork-lab: %s: %s\n", finding.pointer.c_str(), finding.message.c_str());
    }
    return ExitUsage;
}

int runServer(std::span<char *> arguments)
{
    const auto options = parseServerArguments(arguments);
    if (!options) {
        return reportFindings(options.error());
    }
    asio::io_context context(1);
    StandinServer server(context, *options);
    server.start();
    context.run();
    return 0;
}

int runStats(std::span<char *> arguments)
{
    const auto options = parseStatsArguments(arguments);
    if (!options) {
        return reportFindings(options.error());
    }
    asio::io_context context(1);
    HttpClient client(context);
    StatsCollector collector(client, options->servers, options->recordFiles);
    asio::co_spawn(context, collector.collect(), asio::detached);
    context.run();
    std::fputs(collector.writeSummary().c_str(), stdout);
    return collector.unreachableCount() == 0 ? 0 : ExitFailure;
}

int runLoad(std::span<char *> arguments)
{
    std::string resultFile;
    const auto options = parseLoadArguments(arguments, resultFile);
    if (!options) {
        return reportFindings(options.error());
    }
    asio::io_context context(1);
    LoadGenerator generator(context, *options);
    asio::co_spawn(context, generator.run(), asio::detached);
    context.run();
    if (!resultFile.empty()) {
        std::ofstream(resultFile) << writeJson(generator.result(), *options) << '\n';
    }
    std::fputs(writeTable(generator.result(), *options).c_str(), stdout);
    std::uint64_t mismatched = 0;
    for (const auto &[name, operation] : generator.result().operations) {
        mismatched += operation.mismatched;
    }
    return mismatched == 0 ? 0 : ExitFailure;
}

// Returns one line for each fault of the simulation, with its start (since that of the load) and its duration in milliseconds.
std::string describeFaults(const fleet::Fleet &simulation)
{
    std::string text;
    for (const fleet::Fault &fault : simulation.faults()) {
        text += std::string("  ") + fleet::faultName(fault.kind) + (fault.wholeService ? " service of host " : " host ")
            + std::to_string(fault.host) + " at "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(fault.start).count()) + " for "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(fault.duration).count()) + "\n";
    }
    return text;
}

int runSoak(std::span<char *> arguments)
{
    const auto options = parseSoakArguments(arguments);
    if (!options) {
        return reportFindings(options.error());
    }
    std::ofstream logText;
    if (!options->logFile.empty()) {
        logText.open(options->logFile);
    }
    std::size_t attempts = 0;
    std::size_t executions = 0;
    std::size_t violations = 0;
    for (std::uint64_t seed = options->firstSeed; seed < options->firstSeed + options->seeds; ++seed) {
        fleet::Fleet simulation({.seed = seed, .hostsPerService = options->hostsPerService}, logText);
        simulation.run();
        attempts += simulation.history().attempts.size();
        executions += simulation.history().executions.size();
        const std::vector<std::string> findings = fleet::checkInvariants(simulation);
        violations += findings.size();
        for (const std::string &finding : findings) {
            std::printf("seed %" PRIu64 ": %s\n", seed, finding.c_str());
        }
        if (!findings.empty()) {
            std::fputs(describeFaults(simulation).c_str(), stdout);
        }
    }
    std::printf("%u seeds, %zu attempts of callers, %zu runs on backend servers, %zu findings\n", options->seeds, attempts, executions,
                violations);
    return violations == 0 ? 0 : ExitFailure;
}

int runFaultSoak(std::span<char *> arguments)
{
    auto options = parseFaultSoakArguments(arguments);
    if (!options) {
        return reportFindings(options.error());
    }
    if (options->labProgram.empty()) {
        options->labProgram = std::filesystem::read_symlink("/proc/self/exe");
    }
    std::size_t requests = 0;
    std::size_t violations = 0;
    for (std::uint64_t seed = options->firstSeed; seed < options->firstSeed + options->seeds; ++seed) {
        const FaultSoakResult result = FaultSoak(*options, seed).run();
        requests += result.requests;
        violations += result.findings.size();
        std::printf("seed %" PRIu64 ": %s\n", seed, result.summary.c_str());
        for (const std::string &finding : result.findings) {
            std::printf("seed %" PRIu64 ": %s\n", seed, finding.c_str());
        }
        std::fflush(stdout);
    }
    std::printf("%u seeds, %zu requests, %zu findings\n", options->seeds, requests, violations);
    return violations == 0 ? 0 : ExitFailure;
}

} // namespace

int main(int argc, char **argv)
{
    const std::span<char *> arguments(argv + 1, static_cast<std::size_t>(argc - 1));
    const std::string_view command = arguments.empty() ? std::string_view() : arguments[0];
    if (command == "server") {
        return runServer(arguments);
    }
    if (command == "stats") {
        return runStats(arguments);
    }
    if (command == "soak") {
        return runSoak(arguments);
    }
    if (command == "fault-soak") {
        try {
            return runFaultSoak(arguments);
        } catch (const std::exception &error) {
            std::fprintf(stderr, "wisteriafork-lab: %s\n", error.what());
            return ExitFailure;
        }
    }
    if (command == "load") {
        return runLoad(arguments);
    }
    std::fputs(usage(), command == "--help" ? stdout : stderr);
    return command == "--help" ? 0 : ExitUsage;
}
