#pragma once

#include "core/config/publishedconfiguration.h"
#include "ctl/exitcode.h"

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace wisteriafork {

// A configuration in its published form and assembled.
struct ConfigurationFile
{
    PublishedConfiguration published;
    Configuration configuration;
};

// Why a command cannot go on: its exit code and a text for people.
struct CommandFailure
{
    ExitCode code = ExitCode::FileError;
    std::string message;
};

// Reads a document that `config generate` wrote, with all checks. `source` names it in messages.
tl::expected<ConfigurationFile, CommandFailure> readConfigurationText(std::string_view text, const std::string &source);

tl::expected<ConfigurationFile, CommandFailure> readConfigurationFile(const std::string &path);

} // namespace wisteriafork
