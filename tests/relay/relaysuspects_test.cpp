#include "relay/relayparts.h"
#include "relay/relayrequest.h"
#include "relaysetup.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

constexpr auto LongWait = 20s;

Route bookRoute()
{
    return {.name = "book",
            .host = "a.example",
            .prefix = "/book/",
            .kind = RequestKind::NonIdempotent,
            .services = {{.service = ServiceId("books")}},
            .timeout = 10s,
            .targetLatency = 1s,
            .maxAttempts = 2};
}

template <typename Condition>
bool waitFor(Condition condition)
{
    for (auto waited = 0ms; waited < LongWait && !condition(); waited += 10ms) {
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

} // namespace

TEST_GROUP(RelaySuspects)
{
    RunningContext running;
    FakeInstance books{running.context, FakeInstance::succeed};
    FakeInstance otherBooks{running.context, FakeInstance::succeed};
    RelayHost old{running.context, "old", "books", books};

    void teardown() override
    {
        running.stop();
    }

    static RequestKey fingerprintOfBook()
    {
        HttpRequest request{.method = "POST", .target = "/book/1", .body = "text"};
        request.headers.add("host", "a.example");
        return RelayRequest{.http = std::make_shared<HttpRequest>(std::move(request))}.fingerprint();
    }
};

// Guards against a node that was stopped and started and runs a request again that has crashed two servers: the bans were reported only
// around the crashes, while the node did not run.
TEST(RelaySuspects, ANodeThatStartsLaterRefusesARequestThatHasCrashedTwoServers)
{
    const RequestKey fingerprint = fingerprintOfBook();
    old.run([&] {
        old.relay.node().parts().crashGuard.onReportsReceived(
            {.suspects = {{.fingerprint = fingerprint, .state = SuspectState::Banned, .crashes = {1, 2}}}});
    });

    RelayHost started(running.context, "started", "books", otherBooks);
    started.run([&] {
        started.relay.node().applyRoutes(RouteTable(1, {bookRoute()}));
        started.relay.node().putInstance(old.instance("i-1"));
        started.relay.node().putInstance(started.instance("i-2"));
    });

    CHECK_TEXT(waitFor([&] {
                   bool banned = false;
                   started.run([&] { banned = started.relay.node().parts().crashGuard.isBanned(fingerprint); });
                   return banned;
               }),
               "the node does not learn of the ban");
    HttpClient client(running.context, {.server = started.settings.callerEndpoint});
    auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = "/book/1", .body = "text"});
    request->headers.add("host", "a.example");
    request->headers.add("x-id", "77ba");
    std::promise<unsigned> status;
    client.send(request, {},
                [&](const tl::expected<HttpResponse, ExchangeError> &response) { status.set_value(response ? response->status : 0); });
    auto future = status.get_future();
    CHECK(future.wait_for(LongWait) == std::future_status::ready);
    LONGS_EQUAL(503, future.get());
    LONGS_EQUAL(0, otherBooks.requests().size());
    running.stop();
}
