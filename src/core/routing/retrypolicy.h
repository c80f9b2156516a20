#pragma once

#include "core/base/calldescription.h"
#include "core/base/clock.h"
#include "core/base/random.h"
#include "core/routing/attemptbudget.h"
#include "core/routing/attemptfailure.h"
#include "core/routing/retryoptions.h"

#include <cstdint>
#include <optional>

namespace wisteriafork {

// Decides whether a failed attempt is retried. One per node; it holds the node's ratio of retries to fresh calls. Each call that the node
// forwards has an `AttemptBudget`. The retry goes to another instance, preferably in another failure domain. Not thread safe.
class RetryPolicy
{
public:
    RetryPolicy(RetryOptions options, RandomEngine &random);

    // Budget of a call of a caller, or of the local backend server with what `CallAttribution` granted, or of a peer with what it sent.
    AttemptBudget budgetOf(const CallDescription &call) const;
    // `attemptsLeft` of a request that arrives from a caller.
    std::uint32_t initialAttempts() const;

    // Counts a fresh call; retries are allowed in proportion.
    void freshCall();

    // Delay after which the call is sent again, or none if it is given up. `retriesMade` counts those made for this call at this node.
    // Spends one unit of the budget.
    std::optional<Duration> decide(const CallDescription &call, AttemptBudget &budget, AttemptFailure failure, unsigned retriesMade,
                                   Duration remaining);

private:
    bool isAllowed(const CallDescription &call, AttemptFailure failure) const;

    RetryOptions m_options;
    RandomEngine &m_random;
    double m_tokens;
};

} // namespace wisteriafork
