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
