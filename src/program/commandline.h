#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace wisteriafork {

enum class CommandLineMode : std::uint8_t {
    Run,
    // Check the settings and exit.
    Check,
    Help,
    Version,
};

// What the arguments of a node program ask for.
struct CommandLine
{
    CommandLineMode mode = CommandLineMode::Run;
    std::string settingsFile;
};

// Parses the arguments of a node program. `defaultSettingsFile` is used where they name no settings file; if it is empty, they must name
// one. The error is a message for people.
tl::expected<CommandLine, std::string> parseCommandLine(int argc, char **argv, std::string_view defaultSettingsFile);

} // namespace wisteriafork
