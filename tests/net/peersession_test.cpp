#include "echoserver.h"

#include "net/peerpool.h"
#include "rawserver.h"

#include <future>
#include <sstream>
#include <thread>

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

std::string textOf(const Tcp::endpoint &endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

// How a connection goes on after its response was cut off.
enum class CutEnd {
    Close,
    Reset,
    Silence,
};

// Passes bytes between a client and a server, but only the first `cutAt` bytes of the server.
class CuttingProxy
{
public:
    CuttingProxy(const Tcp::endpoint &server, std::size_t cutAt, CutEnd end)
        : m_cutAt(cutAt), m_end(end), m_listener([this, server](Tcp::socket &client, unsigned) { relay(client, server); })
    {
    }

    Tcp::endpoint address() const
    {
        return m_listener.address();
    }

    std::size_t passedBytes() const
    {
        return m_passedBytes;
    }

private:
    void relay(Tcp::socket &client, const Tcp::endpoint &serverAddress)
    {
        asio::io_context context;
        Tcp::socket server(context);
        server.connect(serverAddress);
        // With a linger time of zero, closing the connection resets it. Set before the other thread uses the socket.
        client.set_option(asio::socket_base::linger(m_end == CutEnd::Reset, 0));
        std::thread requests([&] {
            pass(client, server, SIZE_MAX);
            ErrorCode ignored;
            server.shutdown(Tcp::socket::shutdown_send, ignored);
        });
        m_passedBytes = pass(server, client, m_cutAt);
        ErrorCode error;
        if (m_end == CutEnd::Silence) {
            // Ends when the client gives the connection up.
            requests.join();
            return;
        }
        // The thread ends because the server closes its connection or because the client does.
        client.shutdown(Tcp::socket::shutdown_receive, error);
        server.shutdown(Tcp::socket::shutdown_both, error);
        requests.join();
    }

    // Passes at most `limit` bytes. Returns their number when they are passed or the source has ended.
    static std::size_t pass(Tcp::socket &from, Tcp::socket &to, std::size_t limit)
    {
        std::size_t passed = 0;
        ErrorCode error;
        std::array<char, 4096> buffer{};
        while (passed < limit) {
            const std::size_t size = from.read_some(asio::buffer(buffer.data(), std::min(buffer.size(), limit - passed)), error);
            if (error) {
                break;
            }
            passed += asio::write(to, asio::buffer(buffer.data(), size), error);
        }
        return passed;
    }

    const std::size_t m_cutAt;
    const CutEnd m_end;
    std::atomic<std::size_t> m_passedBytes = 0;
    RawServer m_listener;
};

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

// Guards against a response of another node that is cut off at any byte and counts as complete, or as proof that the request did not run.
TEST(PeerSession, AResponseThatIsCutOffAtAnyByteIsNeverComplete)
{
    const auto exchange = [this](std::size_t cutAt, CutEnd end, std::chrono::milliseconds pingInterval,
                                 std::size_t *passedBytes = nullptr) {
        CuttingProxy proxy(server.address(), cutAt, end);
        PeerOptions options;
        options.pingInterval = pingInterval;
        PeerPool cutPool(running.context, options);
        std::promise<Result> promise;
        auto request = std::make_shared<HttpRequest>(HttpRequest{.body = "body"});
        asio::post(running.context, [&] {
            cutPool.send(textOf(proxy.address()), request, pathField("/a"), [&](Result result) { promise.set_value(std::move(result)); });
        });
        Result result = promise.get_future().get();
        cutPool.stop();
        if (passedBytes != nullptr) {
            CHECK(waitUntil([&] { return proxy.passedBytes() > 0; }));
            *passedBytes = proxy.passedBytes();
        }
        return result;
    };
    std::size_t wholeBytes = 0;
    const Result whole = exchange(SIZE_MAX, CutEnd::Close, std::chrono::seconds(10), &wholeBytes);
    STRCMP_EQUAL("POST /a body", whole ? whole->body.c_str() : "no response");

    for (const CutEnd end : {CutEnd::Close, CutEnd::Reset, CutEnd::Silence}) {
        for (std::size_t cutAt = 0; cutAt < wholeBytes; ++cutAt) {
            const int receivedBefore = handler.received;
            const Result result = exchange(cutAt, end, std::chrono::milliseconds(end == CutEnd::Silence ? 5 : 10'000));

            const std::string outcome
                = result ? "status " + std::to_string(result->status) : "error " + std::to_string(static_cast<int>(result.error()));
            // A connection that ends before the sender has noticed that it is established carries no request.
            const bool isUnsent = !result && result.error() == ExchangeError::NotProcessed && handler.received == receivedBefore;
            CHECK_TEXT(isUnsent || (!result && result.error() == ExchangeError::Interrupted),
                       (outcome + ", cut off after " + std::to_string(cutAt) + " of " + std::to_string(wholeBytes) + " bytes, end "
                        + std::to_string(static_cast<int>(end)))
                           .c_str());
        }
    }
}
