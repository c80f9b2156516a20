#pragma once

#include "core/base/finding.h"
#include "lab/loadoptions.h"
#include "lab/standinserveroptions.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace wisteriafork::lab {

// Options of the command "stats".
struct StatsOptions
{
    std::vector<boost::asio::ip::tcp::endpoint> servers;
    // Record files of the servers. If any are given, executions are read from them instead of from the servers.
    std::vector<std::string> recordFiles;
};

// Options of the command "soak".
struct SoakOptions
{
    // Number of simulations, with successive seeds.
    unsigned seeds = 50;
    std::uint64_t firstSeed = 1;
    unsigned hostsPerService = 4;
    // File that receives the logs of all simulated nodes; none if empty.
    std::string logFile;
};

// Options of the command "fault-soak".
struct FaultSoakOptions
{
    // Number of runs, with successive seeds.
    unsigned seeds = 10;
    std::uint64_t firstSeed = 1;
    // Time in which clients send requests and faults are injected, in each run.
    std::chrono::seconds loadTime{5};
    unsigned clients = 64;
    // Program of the node under test.
    std::string nodeProgram;
    // Program of the stand-in servers; this program if empty.
    std::string labProgram;
    // Directory for settings, logs and journals.
    std::string directory = "fault-soak";
    // Lowest of the ports on 127.0.0.1 that the soak uses.
    std::uint16_t firstPort = 24000;
    // Whether the nodes compare the request ids that servers repeat in their responses. A run without it shows that the soak reports
    // violations.
    bool echo = true;
};

// Each of these functions parses the arguments of one command. `arguments[0]` is the name of the command. Returns the options, or all
// findings together. `resultFile` receives the file that the result is written to, if one is given.
tl::expected<StandinServerOptions, std::vector<Finding>> parseServerArguments(std::span<char *> arguments);
tl::expected<StatsOptions, std::vector<Finding>> parseStatsArguments(std::span<char *> arguments);
tl::expected<LoadOptions, std::vector<Finding>> parseLoadArguments(std::span<char *> arguments, std::string &resultFile);

tl::expected<SoakOptions, std::vector<Finding>> parseSoakArguments(std::span<char *> arguments);
tl::expected<FaultSoakOptions, std::vector<Finding>> parseFaultSoakArguments(std::span<char *> arguments);

// Help text of the tool.
const char *usage();

} // namespace wisteriafork::lab
