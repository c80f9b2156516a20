#pragma once

#include "core/base/clock.h"
#include "core/base/refusal.h"

#include <optional>
#include <variant>

namespace wisteriafork {

// The request passes this check.
struct Admit
{
};

// The request is refused. It has not run and never will.
struct Refuse
{
    // HTTP status of the response.
    unsigned status = 503;
    RefusalReason reason = RefusalReason::Overloaded;
    // Name of the outcome in the log and in the body of the response; a string literal.
    const char *event = "";
    // Time after which the caller should come back. Empty for the usual delay after a refusal because of load.
    std::optional<Duration> retryAfter = std::nullopt;
};

// The check needs the answer of another node and is repeated when it arrives.
struct Pending
{
};

// Result of one check of a request at the node where it enters the fleet.
using Verdict = std::variant<Admit, Refuse, Pending>;

} // namespace wisteriafork
