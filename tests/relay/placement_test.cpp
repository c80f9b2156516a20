#include "core/base/manualclock.h"
#include "core/relay/placement.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

TEST_GROUP(Placement)
{
    ManualClock clock;
    RandomEngine random{7};
    Placement placement{PlacementOptions{}, DomainId("north"), clock, random};
    std::vector<Instance> instances{instance("near", "north"), instance("far", "south")};

    static Instance instance(const char *id, const char *domain)
    {
        return {.id = id, .service = ServiceId("shop"), .domain = DomainId(domain), .slots = 10};
    }

    std::string choose(std::vector<std::string> excluded = {})
    {
        const Instance *chosen = placement.choose(instances, excluded, "route", 1s);
        return chosen == nullptr ? "" : chosen->id;
    }

    // Records a call to the instance that ended with the outcome after `time`.
    void recordCall(const std::string &id, PlacementOutcome outcome, Duration time)
    {
        placement.onRequestSent(id);
        placement.onRequestEnded(id, "route", outcome, time);
    }
};

TEST(Placement, CallsStayInTheOwnFailureDomainWhileItHasFreeSlots)
{
    recordCall("near", PlacementOutcome::Answered, 400ms);
    recordCall("far", PlacementOutcome::Answered, 100ms);

    for (int i = 0; i < 20; ++i) {
        STRCMP_EQUAL("near", choose().c_str());
    }
}

TEST(Placement, AFullInstanceIsAvoidedForOneInAnotherFailureDomain)
{
    placement.recordReport("near", {.concurrencyLimit = 10, .runningRequests = 10, .queuedRequests = 20, .holdingTime = 100ms});

    STRCMP_EQUAL("far", choose().c_str());
}

TEST(Placement, AnInstanceInItsWarmUpGetsFewerCalls)
{
    placement.recordReport("near", {.concurrencyLimit = 10, .runningRequests = 8, .queuedRequests = 0, .holdingTime = 1s});
    STRCMP_EQUAL("near", choose().c_str());

    instances[0].coldUntil = clock.now() + 3s;

    STRCMP_EQUAL("far", choose().c_str());
}

TEST(Placement, OwnCallsInFlightCountBeforeAReportIncludesThem)
{
    placement.recordReport("near", {.concurrencyLimit = 10, .runningRequests = 0, .queuedRequests = 0, .holdingTime = 100ms});
    for (int i = 0; i < 30; ++i) {
        placement.onRequestSent("near");
    }

    STRCMP_EQUAL("far", choose().c_str());
}

TEST(Placement, AnInstanceThatFailsMoreThanOthersIsAvoidedAndTriedAgainLater)
{
    for (int i = 0; i < 10; ++i) {
        recordCall("near", PlacementOutcome::Failed, 10ms);
        recordCall("far", PlacementOutcome::Answered, 100ms);
    }
    STRCMP_EQUAL("far", choose().c_str());

    clock.advance(10s);

    STRCMP_EQUAL("near", choose().c_str());
}

TEST(Placement, FailuresOfAllInstancesDoNotMoveCallsToAnotherFailureDomain)
{
    for (int i = 0; i < 10; ++i) {
        recordCall("near", PlacementOutcome::Failed, 10ms);
        recordCall("far", PlacementOutcome::Failed, 10ms);
    }

    STRCMP_EQUAL("near", choose().c_str());
}

TEST(Placement, AnInstanceIsAvoidedWhenItsResponsesAreLate)
{
    for (int i = 0; i < 20; ++i) {
        recordCall("near", PlacementOutcome::Answered, 2s);
        recordCall("far", PlacementOutcome::Answered, 100ms);
    }

    STRCMP_EQUAL("far", choose().c_str());
}

TEST(Placement, AnUnreachableNodeIsNotTriedDuringItsPause)
{
    recordCall("near", PlacementOutcome::Unreachable, 0ms);

    STRCMP_EQUAL("far", choose().c_str());
    clock.advance(300ms);
    STRCMP_EQUAL("near", choose().c_str());
}

// Guards against a restarted node that gets no calls until the decay time of a measurement has passed.
TEST(Placement, ANodeThatShutDownIsTriedAgainAfterASecond)
{
    placement.recordReport("near", {.concurrencyLimit = 10, .leaving = true});
    clock.advance(900ms);
    STRCMP_EQUAL("far", choose().c_str());

    clock.advance(200ms);
    STRCMP_EQUAL("near", choose().c_str());
}

TEST(Placement, ANodeThatShutsDownAndADrainingInstanceGetNoCalls)
{
    placement.recordReport("near", {.concurrencyLimit = 10, .leaving = true});
    STRCMP_EQUAL("far", choose().c_str());

    instances[1].draining = true;
    STRCMP_EQUAL("near", choose().c_str());
    instances[0].draining = true;
    STRCMP_EQUAL("", choose().c_str());
}

TEST(Placement, ATriedInstanceIsNotChosenAgain)
{
    STRCMP_EQUAL("far", choose({"near"}).c_str());
    STRCMP_EQUAL("", choose({"near", "far"}).c_str());
}

TEST(Placement, ManyInstancesOfAFailureDomainShareTheCalls)
{
    instances.clear();
    for (int i = 0; i < 20; ++i) {
        instances.push_back(instance(("i" + std::to_string(i)).c_str(), "north"));
    }
    std::map<std::string, int> calls;
    for (int i = 0; i < 2000; ++i) {
        const std::string chosen = choose();
        placement.onRequestSent(chosen);
        ++calls[chosen];
    }

    LONGS_EQUAL(20, calls.size());
    for (const auto &[id, count] : calls) {
        CHECK(count < 200);
    }
}

// Guards against an instance that gets most calls of its failure domain because it comes first in the list, while others get none.
TEST(Placement, InstancesWithEqualCostsGetEqualShares)
{
    instances = {instance("first", "north"), instance("second", "north"), instance("third", "north")};
    std::map<std::string, int> calls;
    for (int i = 0; i < 300; ++i) {
        ++calls[choose()];
    }

    for (const auto &[id, count] : calls) {
        CHECK_TEXT(count > 70, id.c_str());
    }
    LONGS_EQUAL(3, calls.size());
}
