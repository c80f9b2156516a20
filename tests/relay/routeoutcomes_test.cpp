#include "core/relay/routeoutcomes.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

TEST_GROUP(RouteOutcomes)
{
    RouteOutcomes outcomes;
};

TEST(RouteOutcomes, TheThresholdIsAboveTheUsualVariationOfResponseTimes)
{
    for (int i = 0; i < 100; ++i) {
        outcomes.recordSuccess("r", i % 2 == 0 ? 200ms : 400ms);
    }

    CHECK(outcomes.lateResponseThreshold("r") > 400ms);
    CHECK(outcomes.lateResponseThreshold("r") < 1s);
}

TEST(RouteOutcomes, TheThresholdIsUnknownAfterTooFewSamples)
{
    outcomes.recordSuccess("r", 1ms);

    CHECK(outcomes.lateResponseThreshold("r") == Duration(0));
    CHECK(outcomes.lateResponseThreshold("other") == Duration(0));
}

TEST(RouteOutcomes, TheFailureShareRisesWithFailuresAndFallsWithSuccesses)
{
    for (int i = 0; i < 30; ++i) {
        outcomes.recordFailure("r");
    }
    CHECK(outcomes.failureShare("r") > 0.9);

    for (int i = 0; i < 30; ++i) {
        outcomes.recordSuccess("r", 1ms);
    }

    CHECK(outcomes.failureShare("r") < 0.1);
}
