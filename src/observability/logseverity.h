#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace wisteriafork {

enum class LogSeverity : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

// "debug", "info", "warning" or "error".
std::string_view logSeverityName(LogSeverity severity);

std::optional<LogSeverity> parseLogSeverity(std::string_view name);

} // namespace wisteriafork
