#include "core/base/manualclock.h"
#include "core/relay/retrybudget.h"
#include "core/relay/weightedsplit.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

TEST_GROUP(RetryBudget)
{
    ManualClock clock;
    RetryBudget budget{RetryBudgetOptions{}, clock};
    const ServiceId service{"shop"};

    int chargeAllRetries()
    {
        int retries = 0;
        while (budget.tryChargeRetry(service)) {
            ++retries;
        }
        return retries;
    }
};

TEST(RetryBudget, RetriesToAFailingServiceStayWithinTheRatio)
{
    chargeAllRetries();
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstSend(service);
        retries += budget.tryChargeRetry(service) ? 1 : 0;
    }

    // 0.2 is the ratio of the fleet.
    CHECK(retries < 200);
    CHECK(retries > 50);
}

TEST(RetryBudget, UnusedRetriesAreBoundedByTheBurst)
{
    for (int i = 0; i < 10000; ++i) {
        budget.onFirstSend(service);
    }

    // A fleet of 16 nodes has a slack of 48.
    CHECK(chargeAllRetries() <= 3);
}

// Guards against nodes that each save as much as in a small fleet: with little traffic, all of them together would exceed the slack.
TEST(RetryBudget, ManyNodesWithLittleTrafficStayWithinTheSlackOfTheFleet)
{
    constexpr std::size_t Nodes = 95;
    constexpr int SendsPerNode = 3;
    const RetryBudgetOptions options{.fleetSlackRetries = 124};
    double retries = 0;
    for (std::size_t node = 0; node < Nodes; ++node) {
        RetryBudget saved(options, clock);
        saved.setNodeCount(Nodes);
        for (int i = 0; i < 1000; ++i) {
            saved.onFirstSend(service);
        }
        // The first sends of the time before no longer count in the window of the retries.
        clock.advance(3 * options.window);
        for (int i = 0; i < SendsPerNode; ++i) {
            saved.onFirstSend(service);
            while (saved.tryChargeRetry(service)) {
                ++retries;
            }
        }
    }

    CHECK(retries <= options.fleetSlackRetries + options.fleetRatio * SendsPerNode * Nodes);
}

// Guards against a restart that fills the buckets of all nodes again within one window.
TEST(RetryBudget, RestartedNodesStayWithinTheSlackOfTheFleet)
{
    constexpr std::size_t Nodes = 95;
    const RetryBudgetOptions options{.fleetSlackRetries = 124};
    double retries = 0;
    for (std::size_t node = 0; node < Nodes; ++node) {
        for (int start = 0; start < 2; ++start) {
            RetryBudget restarted(options, clock);
            restarted.setNodeCount(Nodes);
            while (restarted.tryChargeRetry(service)) {
                ++retries;
            }
        }
    }

    CHECK(retries <= options.fleetSlackRetries);
}

// Guards against retries that are never allowed in a large fleet although it has traffic.
TEST(RetryBudget, ANodeOfALargeFleetRetriesReadsInProportionToItsSends)
{
    const RetryBudgetOptions options{.fleetSlackRetries = 124};
    RetryBudget node(options, clock);
    node.setNodeCount(95);
    int reads = 0;
    for (int i = 0; i < 100; ++i) {
        clock.advance(std::chrono::seconds(1));
        node.onFirstSend(service);
        reads += i % 10 == 0 && node.tryChargeRetry(service, 2) ? 1 : 0;
    }

    CHECK(reads >= 7);
}

TEST(RetryBudget, TheReserveIsOnlyForTheMostUrgentRequests)
{
    chargeAllRetries();
    int reads = 0;
    int bookings = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstSend(service);
        reads += budget.tryChargeRetry(service, 2) ? 1 : 0;
        bookings += budget.tryChargeRetry(service, 0) ? 1 : 0;
    }

    LONGS_EQUAL(0, reads);
    CHECK(bookings > 100);
}

TEST(RetryBudget, LessUrgentRequestsAreRetriedWhenFewCallsFail)
{
    int reads = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstSend(service);
        reads += i % 20 == 0 && budget.tryChargeRetry(service, 2) ? 1 : 0;
    }

    LONGS_EQUAL(50, reads);
}

TEST(RetryBudget, CallsOfARetriedRequestAreChargedToTheCalledService)
{
    for (int i = 0; i < 5; ++i) {
        budget.chargeRetry(service);
    }
    for (int i = 0; i < 10; ++i) {
        budget.onFirstSend(service);
    }

    CHECK_FALSE(budget.tryChargeRetry(service));
}

TEST_GROUP(WeightedSplit)
{
    WeightedSplit split;
};

TEST(WeightedSplit, EachServiceGetsItsShareInEveryWindow)
{
    const Route route{.name = "r", .services = {{ServiceId("a"), 90}, {ServiceId("b"), 10}}};
    for (int window = 0; window < 5; ++window) {
        std::map<std::string, int> counts;
        for (int i = 0; i < 100; ++i) {
            ++counts[split.choose(route).value()];
        }
        LONGS_EQUAL(90, counts["a"]);
        LONGS_EQUAL(10, counts["b"]);
    }
}
