#include "relay/relayparts.h"
#include "relaysetup.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <map>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

constexpr auto LongWait = 30s;
// Longer than the grace period, so that no request ends by itself before the process.
constexpr Duration RouteTimeout = 60s;

Route slowRoute(const char *name, RequestKind kind)
{
    return {.name = name,
            .host = "a.example",
            .prefix = std::string("/") + name + "/",
            .kind = kind,
            .services = {{.service = ServiceId("books")}},
            .timeout = RouteTimeout,
            .targetLatency = RouteTimeout,
            .maxAttempts = 2};
}

// Callers whose requests are open at the same time, each on a connection of its own. Status 0 stands for a connection that ended without an
// answer.
class OpenCallers
{
public:
    OpenCallers(asio::io_context &context, const Tcp::endpoint &server) : m_client(context, {.server = server})
    {
    }

    void post(const std::string &target, const std::string &id)
    {
        auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = target});
        request->headers.add("host", "a.example");
        request->headers.add("x-id", id);
        m_client.send(request, {}, [this, id](const tl::expected<HttpResponse, ExchangeError> &response) {
            const std::lock_guard lock(m_mutex);
            m_statuses[id] = response ? response->status : 0;
        });
    }

    std::size_t answerCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_statuses.size();
    }

    // Number of requests that ended with this status.
    long count(unsigned status)
    {
        const std::lock_guard lock(m_mutex);
        return std::ranges::count_if(m_statuses, [status](const auto &entry) { return entry.second == status; });
    }

private:
    HttpClient m_client;
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_statuses;
};

template <typename Condition>
bool waitFor(Condition condition)
{
    for (auto waited = 0ms; waited < LongWait && !condition(); waited += 10ms) {
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

} // namespace

// Callers send to the host `front`, whose routes lead to the service of the host `back`. Its backend server runs one request at a time and
// answers when the test says so.
TEST_GROUP(RelayStop)
{
    RunningContext running;
    FakeInstance shop{running.context, FakeInstance::succeed};
    FakeInstance books{running.context, [](ServerExchange &) {
                       }};
    FakeInstance otherBooks{running.context, FakeInstance::succeed};
    RelayHost front{running.context, "front", "shop", shop};
    RelayHost back{running.context, "back", "books", books};
    RelayHost spare{running.context, "spare", "books", otherBooks};
    std::atomic<bool> stopped = false;

    void setup() override
    {
        for (RelayHost *host : {&front, &back}) {
            host->run([&] {
                host->relay.node().applyRoutes(
                    RouteTable(1, {slowRoute("book", RequestKind::NonIdempotent), slowRoute("read", RequestKind::Idempotent)}));
            });
        }
    }

    void teardown() override
    {
        running.stop();
    }

    Instance oneSlot(const RelayHost &host, const char *id)
    {
        Instance instance = host.instance(id);
        instance.slots = 1;
        return instance;
    }

    // Lists the instance of `back` with one slot on `front` and on `back`, and waits until `back` has taken over the number of slots.
    void listBack()
    {
        for (RelayHost *host : {&front, &back}) {
            host->run([&] { host->relay.node().putInstance(oneSlot(back, "i-1")); });
        }
        CHECK(waitFor([&] { return reportOf(back).concurrencyLimit == 1; }));
    }

    static ServingReport reportOf(RelayHost & host)
    {
        ServingReport report;
        host.run([&] { report = host.relay.node().parts().queue.report(); });
        return report;
    }

    // Stops the host; `onEnd` is called at the time at which its process would end.
    void stop(
        RelayHost & host, std::function<void()> onEnd = [] {})
    {
        host.run([&] {
            host.relay.stop([this, onEnd = std::move(onEnd)](std::size_t) {
                onEnd();
                stopped = true;
            });
        });
    }
};

// Guards against orders that wait in the queue of another node when their entry node stops: their connections ended without an answer
// although nothing had run them.
TEST(RelayStop, RequestsThatWaitAtAnotherNodeAreRefusedBeforeTheProcessEnds)
{
    listBack();
    OpenCallers callers(running.context, front.settings.callerEndpoint);
    for (int number = 0; number < 3; ++number) {
        callers.post("/book/" + std::to_string(number), "77aa." + std::to_string(number));
    }
    CHECK(waitFor([&] { return reportOf(back).queuedRequests == 2; }));

    stop(front);

    CHECK_TEXT(waitFor([&] { return stopped.load(); }), "the node does not stop");
    CHECK(waitFor([&] { return callers.answerCount() == 3; }));
    LONGS_EQUAL_TEXT(2, callers.count(503), "requests that have not run are not refused");
    LONGS_EQUAL_TEXT(1, callers.count(502), "the request that runs has no answer");
    books.release();
    CHECK(waitFor([&] { return reportOf(back).runningRequests == 0; }));
    LONGS_EQUAL_TEXT(1, books.requests().size(), "a refused request has run");
    running.stop();
}

// Guards against orders that wait in the queue of the stopping node itself: those of other nodes move to other instances, those of its own
// callers are refused.
TEST(RelayStop, RequestsThatWaitAtTheStoppingNodeMoveOrAreRefusedBeforeTheProcessEnds)
{
    listBack();
    OpenCallers others(running.context, front.settings.callerEndpoint);
    others.post("/book/running", "77ab.0");
    CHECK(waitFor([&] { return !books.requests().empty(); }));
    others.post("/book/waiting", "77ab.1");
    CHECK(waitFor([&] { return reportOf(back).queuedRequests == 1; }));
    OpenCallers own(running.context, back.settings.callerEndpoint);
    own.post("/book/own", "77ab.2");
    CHECK(waitFor([&] { return reportOf(back).queuedRequests == 2; }));
    front.run([&] { front.relay.node().putInstance(spare.instance("i-2")); });

    long refusedAtEnd = 0;
    long servedAtEnd = 0;
    stop(back, [&] {
        refusedAtEnd = own.count(503);
        servedAtEnd = others.count(200);
    });

    CHECK_TEXT(waitFor([&] { return stopped.load(); }), "the node does not stop");
    LONGS_EQUAL_TEXT(1, refusedAtEnd, "the waiting request of a caller is not refused");
    LONGS_EQUAL_TEXT(1, servedAtEnd, "the waiting request of another node is lost");
    CHECK(waitFor([&] { return own.answerCount() == 1 && others.answerCount() == 2; }));
    LONGS_EQUAL(1, otherBooks.requests().size());
    LONGS_EQUAL(1, books.requests().size());
    running.stop();
}

// Guards against orders without a usable instance whose connections end without an answer.
TEST(RelayStop, RequestsThatWaitForAnInstanceAreRefusedBeforeTheProcessEnds)
{
    OpenCallers callers(running.context, front.settings.callerEndpoint);
    callers.post("/book/1", "77ac");
    CHECK(waitFor([&] {
        std::size_t open = 0;
        front.run([&] { open = front.relay.node().openRequestCount(); });
        return open == 1;
    }));

    stop(front);

    CHECK_TEXT(waitFor([&] { return stopped.load(); }), "the node does not stop");
    CHECK(waitFor([&] { return callers.answerCount() == 1; }));
    LONGS_EQUAL(1, callers.count(503));
    running.stop();
}

// Guards against a process that ends while the rest of a body is missing: the sender could not know that the request has not run.
TEST(RelayStop, ARequestWithoutTheRestOfItsBodyIsRefusedBeforeTheProcessEnds)
{
    listBack();
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect(front.settings.callerEndpoint);
    const std::string request = "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 77ad\r\nContent-Length: 100\r\n\r\nbegin";
    asio::write(socket, asio::buffer(request));

    stop(front);

    std::string response;
    ErrorCode error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    CHECK_TEXT(response.starts_with("HTTP/1.1 503"), "the connection ended without an answer");
    CHECK_TEXT(waitFor([&] { return stopped.load(); }), "the node does not stop");
    LONGS_EQUAL(0, books.requests().size());
}
