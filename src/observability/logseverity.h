#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace wisteriafork {

// In ascending order, so that severities can be compared.
enum class LogSeverity : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

// "debug", "info", "warning" or "error".
std::string_view logSeverityName(LogSeverity severity);

// The severity with this name; empty if there is none.
std::optional<LogSeverity> parseLogSeverity(std::string_view name);

} // namespace wisteriafork
