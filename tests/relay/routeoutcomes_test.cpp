#include "core/relay/routeoutcomes.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

TEST_GROUP(RouteOutcomes)
{
    RouteOutcomes outcomes;
};

TEST(RouteOutcomes, AnAnswerWithinTheUsualSpreadIsNotTakenForLost)
{
    for (int i = 0; i < 100; ++i) {
        outcomes.succeeded("r", i % 2 == 0 ? 200ms : 400ms);
    }

    CHECK(outcomes.unusualTime("r") > 400ms);
    CHECK(outcomes.unusualTime("r") < 1s);
}

TEST(RouteOutcomes, TooFewAnswersSayNothing)
{
    outcomes.succeeded("r", 1ms);

    CHECK(outcomes.unusualTime("r") == Duration(0));
    CHECK(outcomes.unusualTime("other") == Duration(0));
}

TEST(RouteOutcomes, FailuresBehindAllInstancesAreSeenAndForgottenAfterThem)
{
    for (int i = 0; i < 30; ++i) {
        outcomes.failed("r");
    }
    CHECK(outcomes.failureShare("r") > 0.9);

    for (int i = 0; i < 30; ++i) {
        outcomes.succeeded("r", 1ms);
    }

    CHECK(outcomes.failureShare("r") < 0.1);
}
