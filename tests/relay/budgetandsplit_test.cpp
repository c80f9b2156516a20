#include "core/relay/retrybudget.h"
#include "core/relay/weightedsplit.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

TEST_GROUP(RetryBudget)
{
    RetryBudget budget{RetryBudgetOptions{}};
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
