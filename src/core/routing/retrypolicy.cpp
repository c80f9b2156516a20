#include "core/routing/retrypolicy.h"

#include <algorithm>
#include <random>

namespace wisteriafork {

namespace {

// Doublings of the delay bound after which it stays.
constexpr unsigned MostDoublings = 10;

bool isCertainlyNotRun(AttemptFailure failure)
{
    return failure != AttemptFailure::Unknown && failure != AttemptFailure::FailedBelow;
}

} // namespace

RetryPolicy::RetryPolicy(RetryOptions options, RandomEngine &random) : m_options(options), m_random(random), m_tokens(options.burst)
{
}

AttemptBudget RetryPolicy::budgetOf(const CallDescription &call) const
{
    // A call may never spend more than a fresh request has, whatever its headers say.
    return AttemptBudget(std::min(call.attemptsLeft, m_options.attemptsPerRequest));
}

std::uint32_t RetryPolicy::initialAttempts() const
{
    return m_options.attemptsPerRequest;
}

void RetryPolicy::freshCall()
{
    m_tokens = std::min(m_options.burst, m_tokens + m_options.ratio);
}

std::optional<Duration> RetryPolicy::decide(const CallDescription &call, AttemptBudget &budget, AttemptFailure failure,
                                            unsigned retriesMade, Duration remaining)
{
    if (!isAllowed(call, failure)) {
        return std::nullopt;
    }
    const Duration bound = std::min(m_options.longestDelay, Duration(m_options.firstDelay * (1LL << std::min(retriesMade, MostDoublings))));
    std::uniform_int_distribution<Duration::rep> jitter(0, bound.count());
    const Duration delay(jitter(m_random));
    if (delay >= remaining) {
        return std::nullopt;
    }
    if (m_options.ratioEnabled && m_tokens < 1.0) {
        return std::nullopt;
    }
    if (m_options.budgetEnabled) {
        if (failure == AttemptFailure::NotSent || failure == AttemptFailure::RefusedNotRun) {
            budget.takeBack();
        }
        if (!budget.takeRetry()) {
            return std::nullopt;
        }
    } else if (retriesMade + 1 >= m_options.attemptsPerRequest) {
        return std::nullopt;
    }
    if (m_options.ratioEnabled) {
        m_tokens -= 1.0;
    }
    return delay;
}

bool RetryPolicy::isAllowed(const CallDescription &call, AttemptFailure failure) const
{
    if (!call.idempotent && !isCertainlyNotRun(failure)) {
        return false;
    }
    return !m_options.onlyNextToFailure || (failure != AttemptFailure::RefusedForLoad && failure != AttemptFailure::FailedBelow);
}

} // namespace wisteriafork
