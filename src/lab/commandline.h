#pragma once

#include "core/base/finding.h"
#include "lab/loadoptions.h"
#include "lab/standinserveroptions.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace wisteriafork::lab {

struct StatsOptions
{
    std::vector<boost::asio::ip::tcp::endpoint> servers;
    // Files of executions; if any are given, they are read in place of the servers' own counts.
    std::vector<std::string> records;
};

struct SoakOptions
{
    unsigned seeds = 50;
    std::uint64_t firstSeed = 1;
    unsigned hostsPerService = 4;
    // File for the logs of all nodes; empty for none.
    std::string logFile;
};

// Parses the arguments of one subcommand; `arguments[0]` is the name of the subcommand. All findings are reported together.
tl::expected<StandinServerOptions, std::vector<Finding>> parseServerArguments(std::span<char *> arguments);
tl::expected<StatsOptions, std::vector<Finding>> parseStatsArguments(std::span<char *> arguments);
tl::expected<LoadOptions, std::vector<Finding>> parseLoadArguments(std::span<char *> arguments, std::string &resultFile);

tl::expected<SoakOptions, std::vector<Finding>> parseSoakArguments(std::span<char *> arguments);

// Help text of the tool.
const char *usage();

} // namespace wisteriafork::lab
