#pragma once

#include "core/base/refusal.h"
#include "net/httpmessage.h"

#include <optional>
#include <string_view>

namespace wisteriafork {

// Name of a reason as it appears in `Wf-Reason`, for example "overloaded".
std::string_view reasonName(RefusalReason reason);
// Name of a kind as it appears in `Wf-Outcome`: "not-run" or "unknown".
std::string_view kindName(RefusalKind kind);
std::optional<RefusalReason> reasonFromName(std::string_view name);
std::optional<RefusalKind> kindFromName(std::string_view name);

// The answer that a caller gets for a refused request: 503 with `Retry-After`, `Wf-Outcome`, `Wf-Reason` and a small JSON body.
HttpResponse refusalResponse(const Refusal &refusal);
// An error answer with a JSON body {"error": "..."}.
HttpResponse errorResponse(unsigned status, std::string_view message);

} // namespace wisteriafork
