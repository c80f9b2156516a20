#pragma once

#include "core/base/loadreport.h"
#include "core/base/refusal.h"
#include "invariants/judge.h"

#include <functional>
#include <optional>

namespace wisteriafork::test {

// What the sender of a call gets: an answer, a refusal, or neither if the connection broke.
struct Outcome
{
    std::optional<Answer> answer;
    std::optional<Refusal> refusal;
    LoadReport load;
};

using Reply = std::function<void(const Outcome &)>;

} // namespace wisteriafork::test
