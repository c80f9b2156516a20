#include <future>
#include <sstream>

#include "core/base/manualclock.h"
#include "net/steadyclock.h"
#include "relay/servinggateway.h"
#include "relaysetup.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

// Backend server whose connections have gone silent: requests are sent and get no response, and nothing shows that the connection is dead.
class SilentServer : public RequestSender
{
public:
    std::shared_ptr<ClientExchange> send(std::shared_ptr<const HttpRequest>, HttpHeaders, ResponseHandler handler) override
    {
        ++sent;
        m_handlers.push_back(std::move(handler));
        return std::make_shared<Exchange>(*this);
    }

    void probe(std::function<void(bool accepted)>) override
    {
    }

    unsigned sent = 0;
    unsigned cancelled = 0;

private:
    class Exchange : public ClientExchange
    {
    public:
        explicit Exchange(SilentServer &server) : m_server(server)
        {
        }

        void cancel() override
        {
            ++m_server.cancelled;
        }

    private:
        SilentServer &m_server;
    };

    std::vector<ResponseHandler> m_handlers;
};

// A gateway in virtual time beside a silent backend server with a few slots.
struct SilentHost
{
    explicit SilentHost(unsigned slots)
    {
        parts.queue.setSlots(slots);
    }

    CallId serve(RequestKind kind)
    {
        return serve({.instance = "i-1", .route = "book", .kind = kind, .deadline = clock.now() + 1s});
    }

    CallId serve(RelayRequest request)
    {
        request.http = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = "/book/1"});
        return gateway.serve(std::move(request), [this](const AttemptOutcome &outcome) {
            ++outcomes;
            if (const auto *notExecuted = std::get_if<NotExecuted>(&outcome.result)) {
                ++refusals;
                lastReason = notExecuted->reason;
            }
        });
    }

    // Serves a request that the node at this address has sent.
    CallId serveFor(const char *sender, Duration timeToDeadline)
    {
        return serve(
            {.instance = "i-1", .route = "book", .targetLatency = 60s, .deadline = clock.now() + timeToDeadline, .senderAddress = sender});
    }

    // Lets the time pass in steps in which the gateway is polled and ticked.
    void runFor(Duration time)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end;) {
            clock.advance(100ms);
            gateway.tick();
        }
    }

    asio::io_context context;
    ManualClock clock;
    std::ostringstream output;
    EventLog log{LogOptions{}, output};
    RelayParts parts{context, RelaySettings{.node = "n", .headers = testHeaderNames()}, clock, log};
    SilentServer server;
    ServingGateway gateway{parts, server};
    unsigned outcomes = 0;
    unsigned refusals = 0;
    NotExecutedReason lastReason = NotExecutedReason::Unreachable;
};

} // namespace

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

// Guards against slots that are lost for the life of the process: a non-idempotent request whose connection has gone silent was kept after
// its sender had cancelled it, until the backend server would answer.
TEST(ServingGateway, RequestsOnSilentConnectionsGiveTheirSlotsBackAfterTheirDeadline)
{
    constexpr unsigned Slots = 8;
    SilentHost host(Slots);
    std::vector<CallId> calls;
    for (unsigned number = 0; number < Slots; ++number) {
        calls.push_back(host.serve(RequestKind::NonIdempotent));
    }
    const unsigned started = host.server.sent;
    host.runFor(1s);
    for (const CallId call : calls) {
        host.gateway.cancel(call);
    }

    host.runFor(1s);

    LONGS_EQUAL(started, host.server.cancelled);
    LONGS_EQUAL(0, host.gateway.openCallCount());
    LONGS_EQUAL(0, host.parts.queue.report().runningRequests);
    LONGS_EQUAL(0, host.parts.crashGuard.suspectCount());
    host.serve(RequestKind::NonIdempotent);
    LONGS_EQUAL(started + 1, host.server.sent);
}

// Guards against a request of another node that ends only with its sender: a sender that stalls, or whose clock runs slower, would hold the
// slot. A request that was sent and has no response may have been executed.
TEST(ServingGateway, AnOverdueRequestEndsWithoutItsSenderAndIsNotReportedAsRefused)
{
    for (const RequestKind kind : {RequestKind::Idempotent, RequestKind::NonIdempotent}) {
        SilentHost host(1);
        host.serve(kind);

        host.runFor(2s);

        LONGS_EQUAL(1, host.server.cancelled);
        LONGS_EQUAL(1, host.outcomes);
        LONGS_EQUAL(0, host.refusals);
        CHECK(host.gateway.isIdle());
    }
}

// Guards against a non-idempotent request that is broken off while the backend server may still answer it.
TEST(ServingGateway, ACancelledNonIdempotentRequestIsNotBrokenOffBeforeItsDeadline)
{
    SilentHost host(1);
    const CallId call = host.serve(RequestKind::NonIdempotent);
    host.gateway.cancel(call);

    host.runFor(1s);

    LONGS_EQUAL(0, host.server.cancelled);
    LONGS_EQUAL(1, host.parts.queue.report().runningRequests);
}

// Guards against a server whose speed is taken for its number of slots, because it stands after them in the load field.
TEST(ServingGateway, TheSlotsAreTheThirdFigureOfTheLoadField)
{
    struct Case
    {
        const char *load;
        unsigned limit;
    };
    // 0.94 of the slots are used; a malformed field changes nothing.
    constexpr Case Cases[] = {{"3,0,50", 47}, {"3,0,100,250", 94}, {"7", 94}, {"3,0,x,50", 94}, {"3,0,50,", 47}};
    std::string load;
    FakeInstance loaded(running.context, [&load](ServerExchange &exchange) {
        HttpResponse response{.status = 200};
        response.headers.add("x-load", load);
        exchange.respond(std::move(response));
    });
    HttpClient loadedClient(running.context, {.server = loaded.address()});
    ServingGateway loadedGateway(parts, loadedClient);

    for (const Case &example : Cases) {
        load = example.load;
        std::promise<std::uint32_t> limit;
        asio::post(running.context, [&] {
            loadedGateway.serve({.http = std::make_shared<HttpRequest>(HttpRequest{.method = "GET", .target = "/read/1"}),
                                 .instance = "i-1",
                                 .route = "read",
                                 .deadline = clock.now() + std::chrono::seconds(20)},
                                [&](const AttemptOutcome &outcome) { limit.set_value(outcome.report->concurrencyLimit); });
        });
        LONGS_EQUAL_TEXT(example.limit, limit.get_future().get(), example.load);
    }
    running.stop();
}

// Guards against a withdrawal that says of a running request that it has not run, or that takes requests of other nodes with it.
TEST(ServingGateway, WithdrawsOnlyTheWaitingRequestsOfTheEndingNode)
{
    SilentHost host(1);
    host.serveFor("10.0.0.1:7", 60s);
    host.serveFor("10.0.0.1:7", 60s);
    host.serveFor("10.0.0.1:7", 3s);
    host.serveFor("10.0.0.2:7", 60s);
    LONGS_EQUAL(3, host.parts.queue.report().queuedRequests);

    host.gateway.withdraw("10.0.0.1:7", host.clock.now() + 5s);

    LONGS_EQUAL_TEXT(1, host.refusals, "only the second request waits, and may last beyond the end of its sender");
    CHECK(host.lastReason == NotExecutedReason::Withdrawn);
    LONGS_EQUAL(1, host.outcomes);
    LONGS_EQUAL(1, host.server.sent);
    LONGS_EQUAL(0, host.server.cancelled);
    LONGS_EQUAL(2, host.parts.queue.report().queuedRequests);
}

// Guards against requests that wait at a node that is about to end, or come to it then, and are lost with it.
TEST(ServingGateway, RefusesWaitingAndNewRequestsThatMayLastBeyondTheEndOfTheProcess)
{
    SilentHost host(1);
    host.serveFor("10.0.0.1:7", 60s);
    host.serveFor("10.0.0.1:7", 60s);
    host.serveFor("10.0.0.2:7", 3s);
    host.parts.stopDeadline = host.clock.now() + 5s;
    host.parts.refusesWaiting = true;

    LONGS_EQUAL(1, host.gateway.refuseWaiting());
    host.serveFor("10.0.0.2:7", 60s);
    host.context.run();

    LONGS_EQUAL(2, host.refusals);
    CHECK(host.lastReason == NotExecutedReason::Leaving);
    LONGS_EQUAL(1, host.server.sent);
    LONGS_EQUAL(1, host.parts.queue.report().queuedRequests);
}
