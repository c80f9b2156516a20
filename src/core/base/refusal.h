#pragma once

#include "core/base/clock.h"

#include <cstdint>

namespace wisteriafork {

// What a refusal says about the request. `NotRun` is given only where it is certain that no attempt of the request ran.
enum class RefusalKind : std::uint8_t {
    NotRun,
    OutcomeUnknown,
};

enum class RefusalReason : std::uint8_t {
    Overloaded,
    DeadlineTooShort,
    ShareUsedUp,
    NoInstance,
    OwnerUnreachable,
    OwnerNotReady,
    EarlierAttemptUnfinished,
    AttemptsUsedUp,
    SuspectedOfCrash,
    Draining,
    ServerFailed,
    NotConfigured,
};

// A refusal as it is sent to a caller or to the node that forwarded the call.
struct Refusal
{
    RefusalKind kind = RefusalKind::OutcomeUnknown;
    RefusalReason reason = RefusalReason::Overloaded;
    // Time after which a new try makes sense; zero if unknown.
    Duration retryAfter{0};

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

} // namespace wisteriafork
