#include "ctl/configurationfile.h"

#include "core/config/configurationdocument.h"
#include "ctl/textfile.h"

#include <utility>

namespace wisteriafork {

namespace {

CommandFailure invalidConfiguration(const std::string &source, const Findings &findings)
{
    std::string message = source + " is not a valid configuration";
    for (const Finding &finding : findings) {
        message += "\n  " + describeFinding(finding);
    }
    return {.code = ExitCode::NegativeResult, .message = std::move(message)};
}

} // namespace

tl::expected<Configuration, CommandFailure> readConfigurationText(std::string_view text, const std::string &source)
{
    auto configuration = parseConfiguration(text);
    if (!configuration) {
        return tl::unexpected(invalidConfiguration(source, configuration.error()));
    }
    return *std::move(configuration);
}

tl::expected<Configuration, CommandFailure> readConfigurationFile(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!text) {
        return tl::unexpected(CommandFailure{.code = ExitCode::FileError, .message = text.error()});
    }
    return readConfigurationText(*text, path);
}

} // namespace wisteriafork
