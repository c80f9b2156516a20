#include "echoserver.h"

#include <array>
#include <memory>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

HttpLimits smallLimits()
{
    HttpLimits limits;
    limits.headerBytes = 2048;
    limits.requestBodyBytes = 1000;
    limits.requestTimeout = std::chrono::milliseconds(200);
    return limits;
}

// Client that sends the given bytes without changes.
class RawClient
{
public:
    explicit RawClient(const Tcp::endpoint &server) : m_socket(m_context)
    {
        m_socket.connect(server);
    }

    void send(std::string_view bytes)
    {
        ErrorCode error;
        asio::write(m_socket, asio::buffer(bytes.data(), bytes.size()), error);
    }

    // Reads up to and including the given text, or until the end of the connection if the text does not occur.
    std::string readUntil(std::string_view end)
    {
        std::string text;
        ErrorCode error;
        std::array<char, 1> byte{};
        while (!error && (end.empty() || !text.ends_with(end))) {
            const std::size_t size = m_socket.read_some(asio::buffer(byte), error);
            text.append(byte.data(), size);
        }
        return text;
    }

    void close()
    {
        m_socket.close();
    }

    // Reads until the server closes the connection.
    std::string readToEnd()
    {
        return readUntil({});
    }

private:
    asio::io_context m_context;
    Tcp::socket m_socket;
};

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(HttpServer)
{
    EchoHandler handler;
    RunningContext running;
    HttpServer server{running.context, handler, smallLimits()};

    void setup() override
    {
        server.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    }
};

// Guards against responses that are reordered or mixed up on one connection.
TEST(HttpServer, respondsToPipelinedRequestsInOrder)
{
    RawClient client(server.address());

    client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n\r\nPOST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: "
                "2\r\n\r\nhi");

    CHECK(contains(client.readUntil("GET /1 "), "HTTP/1.1 200 OK"));
    CHECK(contains(client.readUntil("GET /2 "), "HTTP/1.1 200 OK"));
    CHECK(contains(client.readUntil("POST /3 hi"), "Content-Length: 10"));
}

// Guards against damaged bodies when the length is not known in advance or the body arrives in pieces.
TEST(HttpServer, readsChunkedBodies)
{
    RawClient client(server.address());

    client.send("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n");
    STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", client.readUntil("\r\n\r\n").c_str());
    client.send("3\r\nab");
    client.send("c\r\n2\r\nde\r\n0\r\n\r\n");

    CHECK(contains(client.readUntil("POST /c abcde"), "200 OK"));
}

// Guards against a body in the response to a HEAD request, which a client would parse as the next response.
TEST(HttpServer, omitsBodyInResponseToHead)
{
    RawClient client(server.address());

    client.send("HEAD /h HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const std::string response = client.readToEnd();

    CHECK(contains(response, "Content-Length: 8"));
    CHECK(contains(response, "Connection: close"));
    CHECK(response.ends_with("\r\n\r\n"));
}

// Guards against unbounded memory use and waiting time for input.
TEST(HttpServer, rejectsInputAboveItsLimits)
{
    RawClient body(server.address());
    body.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n");
    CHECK(contains(body.readToEnd(), "HTTP/1.1 413"));

    RawClient header(server.address());
    header.send("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(4000, 'x') + "\r\n\r\n");
    CHECK(contains(header.readToEnd(), "HTTP/1.1 431"));

    RawClient slow(server.address());
    slow.send("GET / HTTP/1.1\r\nHos");
    CHECK(contains(slow.readToEnd(), "HTTP/1.1 408"));

    RawClient malformed(server.address());
    malformed.send("\x01\x02\x03 nonsense\r\n\r\n");
    CHECK(contains(malformed.readToEnd(), "HTTP/1.1 400"));
    CHECK_EQUAL(0, handler.received.load());
}

// Guards against work that continues for a caller that has closed its connection.
TEST(HttpServer, reportsClosedConnectionAsCancellation)
{
    {
        RawClient client(server.address());
        client.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
        CHECK(waitUntil([&] { return handler.received == 1; }));
    }

    CHECK(waitUntil([&] { return handler.cancelled == 1; }));
    handler.release();
}

// Guards against a stop that interrupts a request in progress.
TEST(HttpServer, finishesRequestsWhenItStops)
{
    RawClient client(server.address());
    client.send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(waitUntil([&] { return handler.received == 1; }));

    server.stop();
    handler.release();

    CHECK(contains(client.readToEnd(), "Connection: close\r\n\r\nGET /hold "));
    CHECK(waitUntil([&] { return server.connectionCount() == 0; }));
}

// Guards against a body that is read although it is larger than allowed.
TEST(HttpServer, refusesAnAnnouncedBodyThatIsTooLargeBeforeItArrives)
{
    RawClient client(server.address());

    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");

    CHECK_TRUE(contains(client.readUntil("\r\n\r\n"), "413"));
}

// Guards against bounds of the configuration that apply only to connections that are opened later.
TEST(HttpServer, appliesNewBoundsToTheNextRequestOfAConnection)
{
    RawClient client(server.address());
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
    CHECK_TRUE(contains(client.readUntil("\r\n\r\n"), "200"));

    server.setRequestBounds(2048, 1);
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");

    CHECK_TRUE(contains(client.readToEnd(), "413"));
}

// Guards against many large bodies that are each allowed and together exceed the memory of the host.
TEST(HttpServer, readsLargeBodiesOneAfterAnotherWhenTheyDoNotFitTogether)
{
    constexpr std::size_t BodyBytes = 200'000;
    HttpLimits limits;
    limits.bufferBudget = std::make_shared<BufferBudget>(3 * BodyBytes / 2);
    HttpServer bounded(running.context, handler, limits);
    bounded.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string header
        = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
    RawClient slow(bounded.address());
    slow.send(header + "a");
    while (limits.bufferBudget->usedBytes() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    RawClient waiting(bounded.address());
    waiting.send(header + std::string(BodyBytes, 'b'));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    LONGS_EQUAL(BodyBytes, limits.bufferBudget->usedBytes());

    slow.send(std::string(BodyBytes - 1, 'a'));
    CHECK_TRUE(contains(slow.readToEnd(), "200"));

    CHECK_TRUE(contains(waiting.readToEnd(), "200"));
}

// Guards against bodies in chunks that each hold a part of the common room, wait for more, and block each other and all other requests
// until they are timed out.
TEST(HttpServer, bodiesInChunksThatDoNotFitTogetherDoNotBlockEachOther)
{
    constexpr std::size_t BodyBytes = 400'000;
    HttpLimits limits;
    limits.bufferBudget = std::make_shared<BufferBudget>(3 * BodyBytes / 2);
    HttpServer bounded(running.context, handler, limits);
    bounded.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::vector<std::unique_ptr<RawClient>> clients;
    std::vector<std::string> responses(4);
    for (std::size_t number = 0; number < responses.size(); ++number) {
        clients.push_back(std::make_unique<RawClient>(bounded.address()));
        clients.back()->send("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n"
                             + std::string(BodyBytes / 2, 'a') + "\r\n");
    }
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < responses.size(); ++number) {
        threads.emplace_back([&, number] {
            clients[number]->send("30d40\r\n" + std::string(BodyBytes / 2, 'a') + "\r\n0\r\n\r\n");
            responses[number] = clients[number]->readToEnd();
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }

    int served = 0;
    for (const std::string &response : responses) {
        const bool success = response.starts_with("HTTP/1.1 200");
        served += success ? 1 : 0;
        CHECK_TEXT(success || response.starts_with("HTTP/1.1 503"), response.substr(0, 100).c_str());
    }
    CHECK_TEXT(served > 0, "none of the bodies was accepted");
}

// Guards against a request that is started after its client has left while the request was waiting for room.
TEST(HttpServer, aRequestWhoseClientHasLeftWhileItWaitedForRoomIsNotStarted)
{
    constexpr std::size_t BodyBytes = 200'000;
    HttpLimits limits;
    limits.requestTimeout = std::chrono::hours(1);
    limits.bufferBudget = std::make_shared<BufferBudget>(BodyBytes);
    HttpServer bounded(running.context, handler, limits);
    bounded.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    BufferReservation taken(limits.bufferBudget);
    CHECK(taken.resize(BodyBytes));
    RawClient client(bounded.address());
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n" + std::string(70'000, 'a'));
    CHECK(waitUntil([&] { return bounded.connectionCount() == 1; }));

    client.close();
    const bool closed = waitUntil([&] { return bounded.connectionCount() == 0; });
    CHECK(taken.resize(0));

    CHECK_TEXT(closed, "the server does not notice that the client has left");
    LONGS_EQUAL(0, handler.received);
}

// Guards against a request that waits for room without any response until its client gives up.
TEST(HttpServer, refusesARequestThatWaitsTooLongForRoom)
{
    constexpr std::size_t BodyBytes = 200'000;
    HttpLimits limits;
    limits.bufferBudget = std::make_shared<BufferBudget>(BodyBytes);
    HttpServer bounded(running.context, handler, limits);
    bounded.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    BufferReservation taken(limits.bufferBudget);
    CHECK(taken.resize(BodyBytes));
    RawClient client(bounded.address());

    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n" + std::string(70'000, 'a'));

    const std::string response = client.readToEnd();
    CHECK_TEXT(response.starts_with("HTTP/1.1 503") && contains(response, "Retry-After"), response.c_str());
    LONGS_EQUAL(0, handler.received);
}
