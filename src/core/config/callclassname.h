#pragma once

#include "core/base/callclass.h"

#include <optional>
#include <string_view>

namespace wisteriafork {

// Name of a class in configuration, headers, logs and metrics: "bulk", "read" or "critical".
std::string_view callClassName(CallClass callClass);

// Reverse of `callClassName`; empty for any other text.
std::optional<CallClass> parseCallClass(std::string_view name);

} // namespace wisteriafork
