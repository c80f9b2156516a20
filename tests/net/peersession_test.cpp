#include "echoserver.h"

#include "net/peerpool.h"

#include <future>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

using Result = tl::expected<HttpResponse, ExchangeError>;

HttpHeaders pathField(const std::string &path)
{
    HttpHeaders headers;
    headers.add(":path", path);
    return headers;
}

} // namespace

TEST_GROUP(PeerSession)
{
    EchoHandler handler;
    RunningContext running;
    PeerServer server{running.context, handler, {}};
    PeerPool pool{running.context, {}};
    std::string address;

    void setup() override
    {
        server.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        std::ostringstream text;
        text << server.address();
        address = text.str();
    }

    std::shared_ptr<ClientExchange> send(const std::string &path, std::string body, std::promise<Result> &promise)
    {
        auto request = std::make_shared<HttpRequest>();
        request->body = std::move(body);
        return pool.send(address, request, pathField(path), [&promise](Result result) { promise.set_value(std::move(result)); });
    }
};

// Guards against bodies that are truncated at the boundaries of frames and flow-control windows.
TEST(PeerSession, carriesBodiesOfAllSizes)
{
    for (const std::size_t size : {0, 1, 16384, 16385, 900000}) {
        std::promise<Result> promise;
        const std::string body(size, 'b');

        send("/a", body, promise);
        const Result result = promise.get_future().get();

        CHECK(result.has_value());
        CHECK(result->body == "POST /a " + body);
    }
    CHECK_EQUAL(1U, server.sessionCount());
}

// Guards against work that continues on a node after the sender has cancelled its request.
TEST(PeerSession, cancelsTheStream)
{
    std::promise<Result> promise;
    const auto exchange = send("/hold", "", promise);
    CHECK(waitUntil([&] { return handler.received == 1; }));

    exchange->cancel();

    CHECK(waitUntil([&] { return handler.cancelled == 1; }));
    handler.release();
}

// Guards against reporting a request that may have been executed as not processed, and the reverse.
TEST(PeerSession, distinguishesInterruptedFromNotProcessed)
{
    std::promise<Result> held;
    send("/hold", "", held);
    CHECK(waitUntil([&] { return handler.received == 1; }));
    pool.stop();
    CHECK(held.get_future().get().error() == ExchangeError::Interrupted);

    std::promise<Result> late;
    send("/a", "", late);
    CHECK(late.get_future().get().error() == ExchangeError::NotProcessed);
    handler.release();
}

// Guards against a graceful stop that interrupts streams.
TEST(PeerSession, finishesStreamsWhenTheServerStops)
{
    std::promise<Result> promise;
    send("/hold", "", promise);
    CHECK(waitUntil([&] { return handler.received == 1; }));

    server.stop();
    handler.release();

    CHECK(promise.get_future().get().has_value());
    CHECK(waitUntil([&] { return server.sessionCount() == 0; }));
}
