#include "core/routing/callattribution.h"
#include "core/routing/retrypolicy.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using std::chrono::seconds;

namespace {

CallDescription makeCall(CallId id, std::uint32_t attemptsLeft, bool idempotent = true)
{
    CallDescription call;
    call.id = id;
    call.requestId = "r" + std::to_string(id);
    call.attemptsLeft = attemptsLeft;
    call.idempotent = idempotent;
    return call;
}

// A random tree of calls in which attempts fail at random. Counts the retries that all nodes together make for one request.
class RandomChain
{
public:
    explicit RandomChain(RetryOptions options) : m_random(*rc::gen::arbitrary<std::uint64_t>()), m_policy(options, m_random)
    {
    }

    void call(std::uint32_t attemptsLeft, unsigned depth)
    {
        CallDescription call = makeCall(++m_lastId, attemptsLeft);
        AttemptBudget budget = m_policy.budgetOf(call);
        for (unsigned tries = 0; retries < 1000; ++tries) {
            call.attemptsLeft = budget.startAttempt();
            const bool reached = m_random() % 4 != 0;
            if (reached) {
                run(call, depth);
            }
            if (reached && m_random() % 2 == 0) {
                return;
            }
            const AttemptFailure failure = reached ? AttemptFailure::Unknown : AttemptFailure::NotSent;
            if (!m_policy.decide(call, budget, failure, tries, seconds(10))) {
                return;
            }
            ++retries;
        }
    }

    std::uint32_t initial() const
    {
        return m_policy.initialAttempts();
    }

    std::uint32_t retries = 0;

private:
    void run(const CallDescription &call, unsigned depth)
    {
        if (depth == 0) {
            return;
        }
        const unsigned children = 1 + m_random() % (depth > 3 ? 1 : 3);
        CallAttribution attribution;
        attribution.started(call, {}, m_random() % 2 == 0 ? children : 0);
        for (unsigned child = 0; child < children; ++child) {
            CallDescription below = makeCall(++m_lastId, 99);
            attribution.attribute(below, {.requestId = call.requestId, .traceId = {}}, {});
            this->call(below.attemptsLeft, depth - 1);
        }
    }

    RandomEngine m_random;
    RetryPolicy m_policy;
    CallId m_lastId = 0;
};

std::uint32_t mostRetries(RetryOptions options, bool stopAtBound)
{
    options.ratioEnabled = false;
    std::uint32_t most = 0;
    rc::check([&] {
        RandomChain chain(options);
        chain.call(chain.initial(), *rc::gen::inRange(0U, 27U));
        most = std::max(most, chain.retries);
        RC_ASSERT(!stopAtBound || chain.retries < chain.initial());
    });
    return most;
}

} // namespace

TEST_GROUP(Retry)
{
    RandomEngine random{7};
};

// Guards against retries that multiply at each hop. Without the budget each hop retries on its own.
TEST(Retry, staysWithinTheBudgetAtAnyDepthAndSplitting)
{
    const RetryOptions options;
    const std::uint32_t most = mostRetries(options, true);
    CHECK(most > 0);
    CHECK(most < options.attemptsPerRequest);

    CHECK(mostRetries({.budgetEnabled = false}, false) >= options.attemptsPerRequest);
}

// Guards against a storm of retries of many requests at one node. Without the ratio all are allowed.
TEST(Retry, boundsRetriesInProportionToFreshCalls)
{
    for (const bool enabled : {true, false}) {
        RetryPolicy policy({.ratioEnabled = enabled}, random);
        unsigned retries = 0;
        for (CallId id = 1; id <= 1000; ++id) {
            policy.freshCall();
            const CallDescription call = makeCall(id, 4);
            AttemptBudget budget = policy.budgetOf(call);
            budget.startAttempt();
            retries += policy.decide(call, budget, AttemptFailure::NotSent, 0, seconds(10)) ? 1 : 0;
        }
        CHECK(enabled ? retries <= 110 : retries == 1000);
    }
}

// Guards against load added to a server that said it was overloaded, and against a second retry of a failure further below.
TEST(Retry, leavesRefusalsForLoadAndFailuresBelowAlone)
{
    for (const AttemptFailure failure : {AttemptFailure::RefusedForLoad, AttemptFailure::FailedBelow}) {
        for (const bool enabled : {true, false}) {
            RetryPolicy policy({.onlyNextToFailure = enabled}, random);
            const CallDescription call = makeCall(1, 4);
            AttemptBudget budget = policy.budgetOf(call);
            budget.startAttempt();
            CHECK_EQUAL(!enabled, policy.decide(call, budget, failure, 0, seconds(10)).has_value());
        }
    }
}

// Guards against a booking that runs twice because its answer was lost.
TEST(Retry, repeatsANonIdempotentCallOnlyIfItCertainlyDidNotRun)
{
    RetryPolicy policy({}, random);
    const CallDescription booking = makeCall(1, 4, false);
    AttemptBudget budget = policy.budgetOf(booking);
    budget.startAttempt();
    CHECK_FALSE(policy.decide(booking, budget, AttemptFailure::Unknown, 0, seconds(10)).has_value());
    CHECK(policy.decide(booking, budget, AttemptFailure::NotSent, 0, seconds(10)).has_value());
}

TEST_GROUP(Attribution){};

// Guards against a call that loses the class, deadline or hash of its request on the way down.
TEST(Attribution, inheritsFromTheCallWithTheSameTrace)
{
    CallAttribution attribution;
    CallDescription parent = makeCall(1, 3);
    parent.callClass = CallClass::Critical;
    parent.requestHash = 42;
    parent.operation = OperationId("book");
    parent.deadline = TimePoint(seconds(9));
    attribution.started(parent, "trace-1", 0);

    CallDescription child = makeCall(2, 99);
    LONGS_EQUAL(1, attribution.attribute(child, {.requestId = {}, .traceId = "trace-1"}, {}));

    CHECK(child.callClass == CallClass::Critical);
    CHECK(child.internal);
    LONGS_EQUAL(42, child.requestHash);
    CHECK(child.deadline == parent.deadline);
    LONGS_EQUAL(2, child.attemptsLeft);
    STRCMP_EQUAL("book", attribution.parentOperation(2).value().c_str());
}

// Guards against retries of calls that belong to no known request, which no budget would bound.
TEST(Attribution, givesAnUnknownCallASingleAttempt)
{
    CallAttribution attribution;
    CallDescription child = makeCall(2, 99);
    LONGS_EQUAL(0, attribution.attribute(child, {.requestId = "unknown", .traceId = "unknown"}, {}));
    CHECK(child.internal);
    LONGS_EQUAL(1, child.attemptsLeft);
}

// Guards against time below that is counted twice when calls overlap, which would hide the latency of the server itself.
TEST(Attribution, countsOverlappingWaitsOnce)
{
    CallAttribution attribution;
    attribution.started(makeCall(1, 3), {}, 2);
    CallDescription first = makeCall(2, 0);
    CallDescription second = makeCall(3, 0);
    attribution.attribute(first, {.requestId = "r1", .traceId = {}}, TimePoint(seconds(1)));
    attribution.attribute(second, {.requestId = "r1", .traceId = {}}, TimePoint(seconds(2)));
    attribution.childEnded(2, TimePoint(seconds(4)));
    attribution.childEnded(3, TimePoint(seconds(6)));
    CHECK(attribution.finished(1, TimePoint(seconds(8))) == seconds(5));
}

// Guards against a run that counts as not begun because its call below was refused in the same instant and so took no time.
TEST(Attribution, remembersACallBelowThatTookNoTime)
{
    CallAttribution attribution;
    attribution.started(makeCall(1, 3), {}, 1);
    CHECK_FALSE(attribution.hasCalledBelow(1));

    CallDescription child = makeCall(2, 0);
    attribution.attribute(child, {.requestId = "r1", .traceId = {}}, TimePoint(seconds(1)));
    attribution.childEnded(2, TimePoint(seconds(1)));

    CHECK_TRUE(attribution.hasCalledBelow(1));
}
