#include <future>
#include <sstream>

#include "net/steadyclock.h"
#include "relay/servinggateway.h"
#include "relaysetup.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

TEST_GROUP(ServingGateway)
{
    RunningContext running;
    FakeInstance shop{running.context, FakeInstance::succeed};
    SteadyClock clock;
    std::ostringstream output;
    EventLog log{LogOptions{}, output};
    RelayParts parts{running.context, RelaySettings{.node = "n", .serverEndpoint = shop.address(), .headers = testHeaderNames()}, clock,
                     log};
    HttpClient client{running.context, {.server = shop.address()}};
    ServingGateway gateway{parts, client};

    void teardown() override
    {
        running.stop();
    }

    AttemptOutcome serve(const RelayRequest &request)
    {
        std::promise<AttemptOutcome> outcome;
        asio::post(running.context, [&] { gateway.serve(request, [&](AttemptOutcome result) { outcome.set_value(std::move(result)); }); });
        return outcome.get_future().get();
    }
};

// Guards against a request of another node that is known to crash backend servers and is still sent to the local one.
TEST(ServingGateway, RefusesRequestsThatWereInFlightAtTwoCrashes)
{
    auto http = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = "/book/1"});
    const RelayRequest request{.http = http, .instance = "i-1", .route = "book", .deadline = clock.now() + std::chrono::seconds(20)};
    parts.crashGuard.onReportsReceived(
        {.suspects = {{.fingerprint = request.fingerprint(), .state = SuspectState::Banned, .crashes = {1, 2}}}});

    const AttemptOutcome outcome = serve(request);

    const auto *notExecuted = std::get_if<NotExecuted>(&outcome.result);
    CHECK(notExecuted != nullptr);
    CHECK((notExecuted != nullptr ? notExecuted->reason : NotExecutedReason::Overloaded) == NotExecutedReason::SuspectedOfCrash);
    CHECK(shop.requests().empty());
}

// Guards against requests that stay queued for an instance long after all nodes know that it is draining.
TEST(ServingGateway, RefusesQueuedAndNewRequestsForADrainingInstance)
{
    FakeInstance busy(running.context, [](ServerExchange &) {});
    HttpClient busyClient(running.context, {.server = busy.address()});
    ServingGateway busyGateway(parts, busyClient);
    const RelayRequest request{.http = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = "/book/1"}),
                               .instance = "i-1",
                               .route = "book",
                               .deadline = clock.now() + std::chrono::seconds(20)};
    std::promise<AttemptOutcome> waiting;
    std::promise<AttemptOutcome> late;

    asio::post(running.context, [&] {
        parts.queue.setSlots(1);
        busyGateway.serve(request, [](const AttemptOutcome &) {});
        busyGateway.serve(request, [&](AttemptOutcome outcome) { waiting.set_value(std::move(outcome)); });
        parts.directory.insertOrReplace({.id = "i-1", .address = "a:1", .draining = true});
        busyGateway.tick();
        busyGateway.serve(request, [&](AttemptOutcome outcome) { late.set_value(std::move(outcome)); });
    });

    for (std::promise<AttemptOutcome> *outcome : {&waiting, &late}) {
        const AttemptOutcome ended = outcome->get_future().get();
        const auto *notExecuted = std::get_if<NotExecuted>(&ended.result);
        CHECK((notExecuted != nullptr ? notExecuted->reason : NotExecutedReason::Overloaded) == NotExecutedReason::Leaving);
    }
    running.stop();
}

// Guards against requests that reach an instance long after its entry was removed, because their sender has an older list.
TEST(ServingGateway, RefusesRequestsForAnInstanceThatIsNoLongerListed)
{
    const RelayRequest request{.http = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = "/book/1"}),
                               .instance = "i-1",
                               .route = "book",
                               .deadline = clock.now() + std::chrono::seconds(20)};
    parts.directory.insertOrReplace({.id = "i-1", .address = "a:1"});
    parts.directory.remove("i-1");

    const AttemptOutcome outcome = serve(request);

    const auto *notExecuted = std::get_if<NotExecuted>(&outcome.result);
    CHECK((notExecuted != nullptr ? notExecuted->reason : NotExecutedReason::Overloaded) == NotExecutedReason::Leaving);
    CHECK(shop.requests().empty());
}

// Guards against a popular request that is banned because several of its responses are broken off at the same time, although the backend
// server runs on.
TEST(ServingGateway, BrokenResponsesOfARunningServerBanNoRequest)
{
    FakeInstance breaking(running.context, [](ServerExchange &exchange) {
        // The exchange ends without a response when its connection is closed.
        exchange.respond({.status = 999, .closeConnection = true});
    });
    HttpClient breakingClient(running.context, {.server = breaking.address()});
    ServingGateway breakingGateway(parts, breakingClient);
    const RelayRequest request{.http = std::make_shared<HttpRequest>(HttpRequest{.method = "GET", .target = "/popular"}),
                               .instance = "i-1",
                               .route = "read",
                               .deadline = clock.now() + std::chrono::seconds(20)};

    for (int round = 0; round < 3; ++round) {
        std::vector<std::promise<void>> ended(5);
        asio::post(running.context, [&] {
            parts.queue.setSlots(10);
            for (std::promise<void> &promise : ended) {
                breakingGateway.serve(request, [&](const AttemptOutcome &) { promise.set_value(); });
            }
        });
        for (std::promise<void> &promise : ended) {
            promise.get_future().wait();
        }
    }

    LONGS_EQUAL(0, parts.crashGuard.suspectCount());
    running.stop();
}
