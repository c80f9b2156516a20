#include "relay/relayparts.h"
#include "relaysetup.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

constexpr auto LongWait = std::chrono::seconds(20);
// A shutdown that stays in its first phase for the whole test: only the readiness check fails.
constexpr StopOptions LongPeerAcceptance{.gracePeriod = 2h, .peerAcceptPeriod = 1h, .callerAcceptPeriod = 1h};
// A shutdown without the first phase: the node accepts no requests of other nodes from the start.
constexpr StopOptions NoPeerAcceptance{.gracePeriod = 2h, .peerAcceptPeriod = 0s, .callerAcceptPeriod = 1h};
// Longer than the phases after the first one together, if no request is in flight.
constexpr auto LaterPhasesDuration = 1200ms;
// As LongPeerAcceptance, but requests of callers are refused from the start.
constexpr StopOptions NoCallerAcceptance{.gracePeriod = 2h, .peerAcceptPeriod = 1h, .callerAcceptPeriod = 0s};

Route testRoute(const char *name, const char *prefix, RequestKind kind, Duration timeout = 10s)
{
    return {.name = name,
            .host = "a.example",
            .prefix = prefix,
            .kind = kind,
            .services = {{.service = ServiceId("books")}},
            .timeout = timeout,
            .targetLatency = 1s,
            .maxAttempts = 2};
}

} // namespace

// Callers send to the host `front`. The routes lead to the service on the host `back` and, in some tests, also on the host `spare`.
TEST_GROUP(Relay)
{
    RunningContext running;
    FakeInstance shop{running.context, FakeInstance::succeed};
    FakeInstance::Responder responder = FakeInstance::succeed;
    FakeInstance books{running.context, [this](ServerExchange &exchange) {
                           responder(exchange);
                       }};
    FakeInstance otherBooks{running.context, FakeInstance::succeed};
    RelayHost front{running.context, "front", "shop", shop};
    RelayHost back{running.context, "back", "books", books, LongPeerAcceptance};
    RelayHost spare{running.context, "spare", "books", otherBooks};

    void setup() override
    {
        front.run([this] {
            front.relay.node().applyRoutes(
                RouteTable(1,
                           {testRoute("read", "/read/", RequestKind::Idempotent), testRoute("book", "/book/", RequestKind::NonIdempotent),
                            testRoute("short", "/short/", RequestKind::NonIdempotent, 200ms)}));
            front.relay.node().putInstance(back.instance("i-1"));
        });
    }

    void teardown() override
    {
        running.stop();
    }

    void addSpare()
    {
        // In another failure domain, so that it is the second choice.
        Instance second = spare.instance("i-2");
        second.domain = DomainId("south");
        front.run([&] { front.relay.node().putInstance(second); });
    }

    // Response of the front host to a caller.
    tl::expected<HttpResponse, ExchangeError> ask(const char *method, const char *target, const char *host = "a.example")
    {
        return askAt(front.settings.callerEndpoint, method, target, host);
    }

    tl::expected<HttpResponse, ExchangeError> askAt(const Tcp::endpoint &callers, const char *method, const char *target, const char *host,
                                                    const char *id = "77aa", const char *deadline = "9000")
    {
        HttpClient client(running.context, {.server = callers});
        auto request = std::make_shared<HttpRequest>(HttpRequest{.method = method, .target = target, .body = "text"});
        request->headers.add("host", host);
        request->headers.add("x-id", id);
        request->headers.add("x-deadline", deadline);
        request->headers.add("x-caller", "forged");
        request->headers.add("x-own", "kept");
        std::promise<tl::expected<HttpResponse, ExchangeError>> result;
        client.send(request, {}, [&](tl::expected<HttpResponse, ExchangeError> response) { result.set_value(std::move(response)); });
        auto future = result.get_future();
        CHECK_TEXT(future.wait_for(LongWait) == std::future_status::ready, "the caller got no answer");
        return future.get();
    }

    template <typename Condition>
    static bool waitFor(Condition condition)
    {
        for (auto waited = 0ms; waited < LongWait && !condition(); waited += 10ms) {
            std::this_thread::sleep_for(10ms);
        }
        return condition();
    }
};

TEST(Relay, PassesOnRequestAndResponseUnchanged)
{
    const auto response = ask("POST", "/book/7?x=1");

    LONGS_EQUAL(200, response->status);
    STRCMP_EQUAL("done /book/7?x=1", response->body.c_str());
    STRCMP_EQUAL("seal-1", std::string(response->headers.find("x-seal")).c_str());
    STRCMP_EQUAL("77aa", std::string(response->headers.find("x-id")).c_str());
    LONGS_EQUAL(1, books.requests().size());
    const HttpRequest request = books.requests().front();
    STRCMP_EQUAL("POST", request.method.c_str());
    STRCMP_EQUAL("text", request.body.c_str());
    STRCMP_EQUAL("77aa", std::string(request.headers.find("x-id")).c_str());
    STRCMP_EQUAL("kept", std::string(request.headers.find("x-own")).c_str());
    STRCMP_EQUAL("i-1", std::string(request.headers.find("x-expect")).c_str());
}

TEST(Relay, ReplacesTheCallerServiceByTheServiceOfTheHost)
{
    ask("GET", "/read/1");

    STRCMP_EQUAL("shop", std::string(books.requests().front().headers.find("x-caller")).c_str());
}

TEST(Relay, DeadlineIsBoundedByTheCallerAndTheRoute)
{
    ask("POST", "/short/1");
    ask("POST", "/book/1");

    const int leftOfRoute = std::stoi(std::string(books.requests().at(0).headers.find("x-deadline")));
    const int leftOfCaller = std::stoi(std::string(books.requests().at(1).headers.find("x-deadline")));
    CHECK(leftOfRoute > 0);
    CHECK(leftOfRoute <= 200);
    CHECK(leftOfCaller > 0);
    CHECK(leftOfCaller <= 9000);
}

TEST(Relay, DropsAResponseToAnotherRequest)
{
    responder = [](ServerExchange &exchange) {
        HttpResponse response{.status = 200};
        response.headers.add("x-seal", "seal-1");
        response.headers.add("x-id", "77ff");
        exchange.respond(std::move(response));
    };

    // The right response could still arrive until the time-out of the route.
    LONGS_EQUAL(504, ask("POST", "/short/1")->status);
}

TEST(Relay, DropsAResponseWithoutTheOriginHeader)
{
    responder = [](ServerExchange &exchange) {
        FakeInstance::respond(exchange, 200, "x-other");
    };

    LONGS_EQUAL(502, ask("POST", "/book/1")->status);
}

TEST(Relay, RespondsWith404WithoutARouteAndWith503WithoutAConfiguration)
{
    LONGS_EQUAL(404, ask("GET", "/other/")->status);
    LONGS_EQUAL(404, ask("GET", "/read/", "b.example")->status);

    HttpClient client(running.context, {.server = back.settings.callerEndpoint});
    auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "GET", .target = "/read/1"});
    std::promise<unsigned> status;
    client.send(request, {}, [&](tl::expected<HttpResponse, ExchangeError> response) { status.set_value(response->status); });
    LONGS_EQUAL(503, status.get_future().get());
}

TEST(Relay, DoesNotRetryABookingThatMayHaveBeenExecuted)
{
    addSpare();
    responder = [](ServerExchange &exchange) {
        exchange.respond({.status = 200, .closeConnection = true});
    };

    const auto response = ask("POST", "/book/1");

    // A response without the origin header leaves the outcome unknown.
    LONGS_EQUAL(502, response->status);
    LONGS_EQUAL(1, books.requests().size());
    LONGS_EQUAL(0, otherBooks.requests().size());
}

TEST(Relay, SendsABookingThatWasNotExecutedToAnotherInstance)
{
    addSpare();
    responder = [](ServerExchange &exchange) {
        FakeInstance::respond(exchange, 503, "x-not-executed");
    };

    LONGS_EQUAL(200, ask("POST", "/book/1")->status);

    LONGS_EQUAL(1, otherBooks.requests().size());
}

TEST(Relay, RefusesABookingThatNoInstanceExecutedWithRetryAfter)
{
    responder = [](ServerExchange &exchange) {
        FakeInstance::respond(exchange, 503, "x-not-executed");
    };

    const auto response = ask("POST", "/book/1");

    LONGS_EQUAL(503, response->status);
    CHECK(!response->headers.find("retry-after").empty());
}

// Guards against a status that promises that a request has not run, from a backend server that does not say so: it may have run.
TEST(Relay, DoesNotPassOnAPromiseThatTheServerDidNotMake)
{
    for (const unsigned status : {408U, 429U, 503U}) {
        responder = [status](ServerExchange &exchange) {
            FakeInstance::respond(exchange, status, "x-seal");
        };

        const auto booking = ask("POST", "/book/1");
        const auto read = ask("GET", "/read/1");

        LONGS_EQUAL(502, booking->status);
        LONGS_EQUAL(502, read->status);
        CHECK_FALSE(booking->headers.contains("x-seal"));
    }
}

// Guards against a refused booking of which the log does not tell what proves that it has not run.
TEST(Relay, LogsTheEvidenceForEachAttemptOfARefusedBooking)
{
    addSpare();
    responder = [](ServerExchange &exchange) {
        FakeInstance::respond(exchange, 503, "x-not-executed");
    };
    spare.run([this] { spare.relay.stop([](std::size_t) {}); });
    front.run([this] {
        Instance unreachable = spare.instance("i-2");
        unreachable.peerAddress = "127.0.0.1:1";
        unreachable.domain = DomainId("south");
        front.relay.node().putInstance(unreachable);
    });

    LONGS_EQUAL(503, ask("POST", "/book/1")->status);

    std::string line;
    front.run([&] {
        const std::string text = front.logText.str();
        const std::size_t start = text.find("sent-request-refused");
        line = start == std::string::npos ? std::string() : text.substr(start, text.find('\n', start) - start);
    });
    CHECK_TEXT(line.find("i-1 refused-by-server server-field ") != std::string::npos, line.c_str());
    CHECK_TEXT(line.find(", i-2 unreachable node-not-connected ") != std::string::npos, line.c_str());
}

TEST(Relay, RefusesRequestsForAnInstanceThatIsNoLongerAtItsAddress)
{
    responder = [](ServerExchange &exchange) {
        FakeInstance::respond(exchange, 421, "x-instance");
    };

    LONGS_EQUAL(503, ask("POST", "/book/1")->status);
    LONGS_EQUAL(503, ask("POST", "/book/2")->status);

    // The second one is refused without asking the backend server again.
    LONGS_EQUAL(1, books.requests().size());
}

TEST(Relay, RetriesAFailedReadOnAnotherInstance)
{
    addSpare();
    responder = [](ServerExchange &exchange) {
        FakeInstance::respond(exchange, 500, "x-seal");
    };

    LONGS_EQUAL(200, ask("GET", "/read/1")->status);
}

TEST(Relay, PassesOnAServerFailureWithItsOriginHeaderWhenNoOtherInstanceIsLeft)
{
    responder = [](ServerExchange &exchange) {
        FakeInstance::respond(exchange, 500, "x-seal");
    };

    const auto response = ask("POST", "/book/1");

    LONGS_EQUAL(500, response->status);
    CHECK(response->headers.contains("x-seal"));
}

TEST(Relay, RespondsAtTheTimeOutOfTheRoute)
{
    responder = [](ServerExchange &) {
    };

    LONGS_EQUAL(504, ask("POST", "/short/1")->status);
}

TEST(Relay, CancelsAReadWhenItsCallerDisconnects)
{
    responder = [](ServerExchange &) {
    };
    HttpClient client(running.context, {.server = front.settings.callerEndpoint});
    auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "GET", .target = "/read/1"});
    request->headers.add("host", "a.example");
    request->headers.add("x-id", "77ab");
    const auto exchange = client.send(request, {}, [](const auto &) {});
    CHECK(waitFor([&] { return !books.requests().empty(); }));

    exchange->cancel();

    CHECK_TEXT(waitFor([&] { return books.cancelled == 1; }), "the connection to the backend server stays open");
}

TEST(Relay, SendsARequestForTheServiceOfItsOwnHostDirectlyToTheBackendServer)
{
    front.run([this] {
        Route own = testRoute("own", "/own/", RequestKind::Idempotent);
        own.services = {{.service = ServiceId("shop")}};
        front.relay.node().applyRoutes(RouteTable(2, {own}));
        front.relay.node().putInstance(front.instance("s-1"));
    });

    LONGS_EQUAL(200, ask("GET", "/own/1")->status);

    STRCMP_EQUAL("s-1", std::string(shop.requests().front().headers.find("x-expect")).c_str());
}

TEST(Relay, FinishesRunningRequestsBeforeItStops)
{
    RelayHost stopping(running.context, "stopping", "shop", shop, NoPeerAcceptance);
    stopping.run([&] {
        stopping.relay.node().applyRoutes(RouteTable(1, {testRoute("book", "/book/", RequestKind::NonIdempotent)}));
        stopping.relay.node().putInstance(back.instance("i-1"));
    });
    std::promise<void> stopped;
    responder = [](ServerExchange &) {
    };
    HttpClient client(running.context, {.server = stopping.settings.callerEndpoint});
    auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = "/book/1"});
    request->headers.add("host", "a.example");
    request->headers.add("x-id", "77ac");
    std::promise<unsigned> status;
    client.send(request, {},
                [&](tl::expected<HttpResponse, ExchangeError> response) { status.set_value(response ? response->status : 0); });
    CHECK(waitFor([&] { return !books.requests().empty(); }));

    stopping.run([&] { stopping.relay.stop([&](std::size_t) { stopped.set_value(); }); });
    std::this_thread::sleep_for(LaterPhasesDuration);
    books.release();

    auto statusFuture = status.get_future();
    CHECK(statusFuture.wait_for(LongWait) == std::future_status::ready);
    LONGS_EQUAL(200, statusFuture.get());
    CHECK_TEXT(stopped.get_future().wait_for(LongWait) == std::future_status::ready, "the node does not stop");
    running.stop();
}

// Guards against a node that ends while it still writes a response to a slow reader, with time left in its grace period.
TEST(Relay, WritesItsResponsesBeforeItStops)
{
    constexpr std::size_t BodyBytes = std::size_t{7} * 1024 * 1024;
    RelayHost stopping(running.context, "stopping", "shop", shop, NoPeerAcceptance);
    stopping.run([&] {
        stopping.relay.node().applyRoutes(RouteTable(1, {testRoute("book", "/book/", RequestKind::NonIdempotent)}));
        stopping.relay.node().putInstance(back.instance("i-1"));
    });
    responder = [](ServerExchange &exchange) {
        HttpResponse response{.status = 200, .body = std::string(BodyBytes, 'b')};
        response.headers.add("x-seal", "seal-1");
        response.headers.add("x-id", "77ac");
        exchange.respond(std::move(response));
    };
    asio::io_context context;
    Tcp::socket socket(context);
    socket.open(Tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
    socket.connect(stopping.settings.callerEndpoint);
    const std::string request = "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 77ac\r\nContent-Length: 0\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    CHECK(waitFor([&] { return socket.available() > 0; }));
    std::atomic<bool> stopped = false;

    stopping.run([&] { stopping.relay.stop([&](std::size_t) { stopped = true; }); });
    std::this_thread::sleep_for(LaterPhasesDuration);
    CHECK_FALSE_TEXT(stopped, "the node stopped while it was writing a response");
    std::string response;
    ErrorCode error;
    asio::read(socket, asio::dynamic_buffer(response), error);

    CHECK_TEXT(response.size() > BodyBytes, "the response is cut off");
    socket.close();
    CHECK_TEXT(waitFor([&] { return stopped.load(); }), "the node does not stop");
    running.stop();
}

TEST(Relay, ServesRequestsOfOtherNodesInTheFirstPhaseOfAShutdown)
{
    back.run([this] { back.relay.stop([](std::size_t) {}); });
    std::this_thread::sleep_for(LaterPhasesDuration);

    LONGS_EQUAL(200, ask("POST", "/book/1")->status);

    LONGS_EQUAL(1, books.requests().size());
}

TEST(Relay, RefusesCallersAtTheEndOfAShutdown)
{
    RelayHost stopping(running.context, "stopping", "shop", shop, NoCallerAcceptance);
    stopping.run([&] {
        stopping.relay.node().applyRoutes(RouteTable(1, {testRoute("book", "/book/", RequestKind::NonIdempotent)}));
        stopping.relay.node().putInstance(back.instance("i-1"));
        stopping.relay.stop([](std::size_t) {});
    });

    CHECK_TEXT(waitFor([&] {
                   const auto response = askAt(stopping.settings.callerEndpoint, "POST", "/book/1", "a.example");
                   return response && response->status == 503 && response->body.find("stopping") != std::string::npos;
               }),
               "the node takes requests until it ends");
    running.stop();
}

// Guards against calls of the local backend server that are taken late in a shutdown, passed on, and cut off without an answer when the
// process ends.
TEST(Relay, RefusesCallsThatMayOutlastAShutdown)
{
    constexpr const char *BeyondTheStop = "7200000";
    RelayHost stopping(running.context, "stopping", "shop", shop, {.gracePeriod = 1h, .peerAcceptPeriod = 1h, .callerAcceptPeriod = 0s});
    stopping.run([&] {
        stopping.relay.node().applyRoutes(RouteTable(1, {testRoute("book", "/book/", RequestKind::NonIdempotent, 3h)}));
        stopping.relay.node().putInstance(back.instance("i-1"));
        stopping.relay.node().parts().runningRequests.onRequestStarted("77aa", {.route = "own"});
        stopping.relay.stop([](std::size_t) {});
    });
    const Tcp::endpoint callers = stopping.settings.callerEndpoint;
    CHECK(waitFor([&] { return askAt(callers, "POST", "/book/1", "a.example")->status == 503; }));
    const std::size_t before = books.requests().size();

    LONGS_EQUAL(200, askAt(callers, "POST", "/book/1", "a.example", "77aa.1")->status);
    LONGS_EQUAL(503, askAt(callers, "POST", "/book/1", "a.example", "77aa.2", BeyondTheStop)->status);

    LONGS_EQUAL(before + 1, books.requests().size());
    running.stop();
}

// Guards against a node that takes requests until the end of a grace period that is shorter than usual, and cuts them off.
TEST(Relay, StopsTakingRequestsInTheFirstHalfOfAnyGracePeriod)
{
    for (const std::chrono::milliseconds grace : {1000ms, 3000ms, 6000ms, 10000ms}) {
        const StopOptions stop = StopOptions::within(grace);

        CHECK(stop.gracePeriod == grace);
        CHECK(stop.callerAcceptPeriod <= grace / 2);
        CHECK(stop.peerAcceptPeriod < stop.callerAcceptPeriod);
    }
}

TEST(Relay, IgnoresAnOlderConfiguration)
{
    front.run([this] { front.relay.node().applyRoutes(RouteTable(0, {})); });

    LONGS_EQUAL(200, ask("GET", "/read/1")->status);
    LONGS_EQUAL(1, front.relay.node().configurationVersion());
}

TEST(Relay, FetchesTheSnapshotOfAPeerWithANewerConfiguration)
{
    std::promise<std::pair<std::string, std::string>> received;
    asio::io_context &context = running.context;
    RelaySettings settings = front.settings;
    settings.callerEndpoint = freeEndpoint();
    settings.peerEndpoint = freeEndpoint();
    settings.readinessEndpoint = freeEndpoint();
    std::atomic<bool> snapshotSeen = false;
    Relay stale(context, settings, front.log,
                {.snapshot = [] { return std::string(); },
                 .onSnapshotReceived =
                     [&](const std::string &peer, const std::string &text) {
                         if (!snapshotSeen.exchange(true)) {
                             received.set_value({peer, text});
                         }
                     }});
    front.run([&] {
        back.relay.node().applyRoutes(RouteTable(5, {}));
        stale.start();
        stale.node().applyRoutes(RouteTable(1, {testRoute("read", "/read/", RequestKind::Idempotent)}));
        stale.node().putInstance(back.instance("i-1"));
    });
    HttpClient client(context, {.server = settings.callerEndpoint});
    auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "GET", .target = "/read/1"});
    request->headers.add("host", "a.example");
    request->headers.add("x-id", "77ad");
    std::promise<void> responseReceived;
    client.send(request, {}, [&](const auto &) { responseReceived.set_value(); });
    responseReceived.get_future().wait();

    const auto [peer, snapshot] = received.get_future().get();
    STRCMP_EQUAL(endpointText(back.settings.peerEndpoint).c_str(), peer.c_str());
    STRCMP_EQUAL("state", snapshot.c_str());
    // The relay must not run on while it is destroyed.
    running.stop();
}
