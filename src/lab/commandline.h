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

struct PlatformOptions
{
    std::uint16_t port = 0;
};

// Parses the arguments of one subcommand; `arguments[0]` is the name of the subcommand. All findings are reported together.
tl::expected<StandinServerOptions, std::vector<Finding>> parseServerArguments(std::span<char *> arguments);
tl::expected<PlatformOptions, std::vector<Finding>> parsePlatformArguments(std::span<char *> arguments);
tl::expected<LoadOptions, std::vector<Finding>> parseLoadArguments(std::span<char *> arguments, std::string &resultFile);

// Help text of the tool.
const char *usage();

} // namespace wisteriafork::lab
