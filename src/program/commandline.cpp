#include "program/commandline.h"

#include <array>

#include <getopt.h>

namespace wisteriafork {

tl::expected<CommandLine, std::string> parseCommandLine(int argc, char **argv, std::string_view defaultSettingsFile)
{
    static const std::array<option, 5> options{{
        {"settings", required_argument, nullptr, 's'},
        {"check", no_argument, nullptr, 'c'},
        {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'v'},
        {nullptr, 0, nullptr, 0},
    }};
    CommandLine commandLine{.settingsFile = std::string(defaultSettingsFile)};
    optind = 1;
    opterr = 0;
    int option = 0;
    while ((option = getopt_long(argc, argv, "", options.data(), nullptr)) != -1) {
        switch (option) {
        case 's':
            commandLine.settingsFile = optarg;
            break;
        case 'c':
            commandLine.mode = CommandLineMode::Check;
            break;
        case 'h':
            return CommandLine{.mode = CommandLineMode::Help};
        case 'v':
            return CommandLine{.mode = CommandLineMode::Version};
        default:
            return tl::unexpected("unknown option or missing value: " + std::string(argv[optind - 1]));
        }
    }
    if (optind < argc) {
        return tl::unexpected("unexpected argument: " + std::string(argv[optind]));
    }
    if (commandLine.settingsFile.empty()) {
        return tl::unexpected(std::string("--settings is missing"));
    }
    return commandLine;
}

} // namespace wisteriafork
