#pragma once

#include "core/base/refusal.h"
#include "net/httpmessage.h"

#include <string_view>

namespace wisteriafork {

// The answer that a caller gets for a refused request: 503 with `Retry-After`, `Wf-Outcome`, `Wf-Reason` and a small JSON body.
HttpResponse refusalResponse(const Refusal &refusal);
// An error answer with a JSON body {"error": "..."}.
HttpResponse errorResponse(unsigned status, std::string_view message);

} // namespace wisteriafork
