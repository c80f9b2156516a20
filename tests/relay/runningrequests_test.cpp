#include "core/base/manualclock.h"
#include "core/relay/routepressure.h"
#include "core/relay/runningrequests.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

TEST_GROUP(RunningRequests)
{
    ManualClock clock;
    RunningRequests running{clock};
};

TEST(RunningRequests, ACallInheritsFromItsRunningParentRequest)
{
    running.onRequestStarted("77aa", {.route = "booking", .priority = 0, .isRetry = true});

    const RunningRequest *parent = running.parentOf("77aa.01");

    const RunningRequest found = parent != nullptr ? *parent : RunningRequest{};
    STRCMP_EQUAL("booking", found.route.c_str());
    CHECK(found.isRetry);
}

TEST(RunningRequests, ARequestOfACallerIsNotTakenForACall)
{
    running.onRequestStarted("77aa", {.route = "booking"});

    POINTERS_EQUAL(nullptr, running.parentOf("77aa"));
    POINTERS_EQUAL(nullptr, running.parentOf("77ab.01"));
    running.onRequestEnded("77aa");
    POINTERS_EQUAL(nullptr, running.parentOf("77aa.01"));
}

TEST(RunningRequests, CalleesExpireWhenTheyAreNoLongerCalled)
{
    running.onCallMade("booking", "log");
    LONGS_EQUAL(1, running.calleesOf("booking").size());

    clock.advance(11s);

    CHECK(running.calleesOf("booking").empty());
}

TEST_GROUP(RoutePressure)
{
    ManualClock clock;
    RoutePressure pressure{clock};
};

TEST(RoutePressure, PressureDecaysWithoutReportsSoThatARouteIsTriedAgain)
{
    for (int i = 0; i < 50; ++i) {
        pressure.recordPressure("r", 1.0);
    }
    CHECK(pressure.pressureOf("r") > 0.95);

    clock.advance(6s);

    CHECK(pressure.pressureOf("r") < 0.05);
}
