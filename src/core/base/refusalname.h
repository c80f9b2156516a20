#pragma once

#include "core/base/refusal.h"

#include <string_view>

namespace wisteriafork {

// Name of a kind in headers, logs and metrics: "not-run" or "unknown".
std::string_view refusalKindName(RefusalKind kind);

// Name of a reason in headers, logs and metrics, for example "owner-unreachable".
std::string_view refusalReasonName(RefusalReason reason);

} // namespace wisteriafork
