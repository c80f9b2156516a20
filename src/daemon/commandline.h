#pragma once

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace wisteriafork {

enum class CommandLineMode : std::uint8_t {
    Run,
    // Check the settings and exit.
    Check,
    Help,
    Version,
};

struct CommandLine
{
    CommandLineMode mode = CommandLineMode::Run;
    std::string settingsFile;
};

// Parses the arguments of the daemon. The error is a message for people.
tl::expected<CommandLine, std::string> parseCommandLine(int argc, char **argv);
std::string commandLineHelp();

} // namespace wisteriafork
