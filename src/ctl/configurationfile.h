#pragma once

#include "core/config/configuration.h"
#include "ctl/exitcode.h"

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace wisteriafork {

// Error that ends a command: its exit code and a message for the user.
struct CommandFailure
{
    ExitCode code = ExitCode::FileError;
    std::string message;
};

// Parses and validates a configuration document as written by `config generate`. `source` names the document in error messages.
tl::expected<Configuration, CommandFailure> readConfigurationText(std::string_view text, const std::string &source);

// Reads a configuration document from a file.
tl::expected<Configuration, CommandFailure> readConfigurationFile(const std::string &path);

} // namespace wisteriafork
