#include "observability/logseverity.h"

#include <array>
#include <cstddef>

namespace wisteriafork {

namespace {

constexpr std::array<std::string_view, 4> Names{"debug", "info", "warning", "error"};

} // namespace

std::string_view logSeverityName(LogSeverity severity)
{
    return Names[static_cast<std::size_t>(severity) % Names.size()];
}

std::optional<LogSeverity> parseLogSeverity(std::string_view name)
{
    for (std::size_t index = 0; index < Names.size(); ++index) {
        if (Names[index] == name) {
            return static_cast<LogSeverity>(index);
        }
    }
    return std::nullopt;
}

} // namespace wisteriafork
