#pragma once

#include "core/base/callclass.h"

#include <optional>
#include <string_view>

namespace wisteriafork {

// Name of a call class in configurations, headers, logs and metrics: "bulk", "read" or "critical"; "unknown" for any other value.
std::string_view callClassName(CallClass callClass);

// Call class with the given name; empty if no class has it.
std::optional<CallClass> parseCallClass(std::string_view name);

} // namespace wisteriafork
