#pragma once

#include "core/base/refusal.h"

#include <cstdint>
#include <variant>

namespace wisteriafork {

// The attempt gave a whole answer, which the transport holds.
struct AttemptAnswered
{
    int status = 0;
    std::uint64_t answerBytes = 0;
};

// The attempt was refused or failed; the kind says whether it may have run.
struct AttemptRefused
{
    Refusal refusal;
};

// How an attempt on the local backend server or at another node ended.
using AttemptResult = std::variant<AttemptAnswered, AttemptRefused>;

} // namespace wisteriafork
