#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace wisteriafork {

// What a node program does when it is started.
enum class CommandLineMode : std::uint8_t {
    // Run the node until a planned stop.
    Run,
    // Check the settings, print the findings and exit.
    Check,
    // Print the help text and exit.
    Help,
    // Print the program version and exit.
    Version,
};

// Parsed arguments of a node program.
struct CommandLine
{
    CommandLineMode mode = CommandLineMode::Run;
    // Name of the settings file; empty in the modes Help and Version.
    std::string settingsFile;
};

// Parses the arguments of a node program. Without the option --settings, `defaultSettingsFile` is the settings file; if that is empty, the
// option is required. The error is a message for the user.
tl::expected<CommandLine, std::string> parseCommandLine(int argc, char **argv, std::string_view defaultSettingsFile);

} // namespace wisteriafork
