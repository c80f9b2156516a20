#include "echoserver.h"
#include "net/httpclient.h"
#include "rawserver.h"

#include <future>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

constexpr const char *KeptResponse = "HTTP/1.1 200 OK\r\nx-id: 1\r\nContent-Length: 2\r\n\r\nok";
// Bytes that a server without end sends at a time; 4000 as the hexadecimal size of a chunk.
constexpr std::size_t PieceBytes = std::size_t{16} * 1024;
// Bounds the duration of failing tests only.
constexpr auto LongWait = 20s;

} // namespace

TEST_GROUP(HttpClient)
{
    RunningContext running;
    std::shared_ptr<BufferBudget> budget = std::make_shared<BufferBudget>(std::size_t{4} * 1024 * 1024);

    HttpClientOptions optionsFor(const RawServer &server)
    {
        HttpClientOptions options{.server = server.address(), .allowCloseDelimited = true, .echoedField = "x-id"};
        options.limits.bufferBudget = budget;
        return options;
    }

    static std::future<tl::expected<HttpResponse, ExchangeError>> send(HttpClient & client, std::string body = {})
    {
        auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = "/", .body = std::move(body)});
        request->headers.add("x-id", "1");
        auto promise = std::make_shared<std::promise<tl::expected<HttpResponse, ExchangeError>>>();
        client.send(request, {}, [promise](tl::expected<HttpResponse, ExchangeError> result) { promise->set_value(std::move(result)); });
        return promise->get_future();
    }

    static ExchangeError errorOf(std::future<tl::expected<HttpResponse, ExchangeError>> future)
    {
        CHECK_TEXT(future.wait_for(LongWait) == std::future_status::ready, "the exchange does not end");
        const auto result = future.get();
        CHECK_TEXT(!result.has_value(), "an incomplete response counts as complete");
        return result.error();
    }
};

// Guards against bytes without end in a header: memory that grows until the deadline of the request.
TEST(HttpClient, CutsAHeaderWithoutEnd)
{
    RawServer server([](Tcp::socket &socket, unsigned) {
        RawServer::readHeader(socket);
        RawServer::send(socket, "HTTP/1.1 200 OK\r\nx-a: ");
        while (RawServer::send(socket, std::string(PieceBytes, 'a'))) { }
    });
    HttpClient client(running.context, optionsFor(server));

    CHECK(errorOf(send(client)) == ExchangeError::MalformedResponse);
}

// Guards against a chunk header or a trailer without end, which the parser buffers although the header of the response is complete.
TEST(HttpClient, CutsAChunkHeaderWithoutEnd)
{
    RawServer server([](Tcp::socket &socket, unsigned) {
        RawServer::readHeader(socket);
        RawServer::send(socket, "HTTP/1.1 200 OK\r\nx-id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=");
        while (RawServer::send(socket, std::string(PieceBytes, 'a'))) { }
    });
    HttpClient client(running.context, optionsFor(server));

    CHECK(errorOf(send(client)) == ExchangeError::MalformedResponse);
}

// Guards against a trailer without end.
TEST(HttpClient, CutsATrailerWithoutEnd)
{
    RawServer server([](Tcp::socket &socket, unsigned) {
        RawServer::readHeader(socket);
        RawServer::send(socket, "HTTP/1.1 200 OK\r\nx-id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
        while (RawServer::send(socket, "x-a: " + std::string(100, 'a') + "\r\n")) { }
    });
    HttpClient client(running.context, optionsFor(server));

    CHECK(errorOf(send(client)) == ExchangeError::MalformedResponse);
    LONGS_EQUAL(0, budget->usedBytes());
}

// Guards against many short header fields without end, of which none is too long by itself.
TEST(HttpClient, CutsHeaderFieldsWithoutEnd)
{
    RawServer server([](Tcp::socket &socket, unsigned) {
        RawServer::readHeader(socket);
        RawServer::send(socket, "HTTP/1.1 200 OK\r\n");
        while (RawServer::send(socket, "x-a: b\r\n")) { }
    });
    HttpClient client(running.context, optionsFor(server));

    CHECK(errorOf(send(client)) == ExchangeError::MalformedResponse);
}

// Guards against bytes without end that never become a response: no line ends, or each line is one of noise.
TEST(HttpClient, CutsBytesThatAreNoResponse)
{
    for (const std::string &piece : {std::string(PieceBytes, '\0'), std::string(PieceBytes, '\n'), std::string("noise\r\n")}) {
        RawServer server([&](Tcp::socket &socket, unsigned) {
            RawServer::readHeader(socket);
            while (RawServer::send(socket, piece)) { }
        });
        HttpClient client(running.context, optionsFor(server));

        CHECK(errorOf(send(client)) == ExchangeError::MalformedResponse);
    }
}

// Guards against responses without end to requests that are over.
TEST(HttpClient, CutsOutdatedResponsesWithoutEnd)
{
    RawServer server([](Tcp::socket &socket, unsigned) {
        RawServer::readHeader(socket);
        while (RawServer::send(socket, "HTTP/1.1 200 OK\r\nx-id: 7\r\nContent-Length: 2\r\n\r\nok")) { }
    });
    HttpClient client(running.context, optionsFor(server));

    CHECK(errorOf(send(client)) == ExchangeError::MalformedResponse);
}

// Guards against bytes without end behind a complete response: they are kept for no request, and the response stands.
TEST(HttpClient, CutsBytesWithoutEndBehindAResponse)
{
    std::promise<void> cut;
    RawServer server([&](Tcp::socket &socket, unsigned) {
        RawServer::readHeader(socket);
        RawServer::send(socket, KeptResponse);
        while (RawServer::send(socket, std::string(PieceBytes, 'a'))) { }
        cut.set_value();
    });
    HttpClient client(running.context, optionsFor(server));

    CHECK(send(client).get().has_value());

    CHECK_TEXT(cut.get_future().wait_for(LongWait) == std::future_status::ready, "the connection stays open");
}

// Guards against interim responses without end.
TEST(HttpClient, CutsInterimResponsesWithoutEnd)
{
    RawServer server([](Tcp::socket &socket, unsigned) {
        RawServer::readHeader(socket);
        while (RawServer::send(socket, "HTTP/1.1 102 Processing\r\n\r\n")) { }
    });
    HttpClient client(running.context, optionsFor(server));

    CHECK(errorOf(send(client)) == ExchangeError::MalformedResponse);
}

// Guards against bodies without end on many connections at once, which are each below their own bound and together exceed the memory of the
// host, and against an ordinary response that is cut off because of them.
TEST(HttpClient, BodiesWithoutEndStayWithinTheCommonBound)
{
    constexpr unsigned EndlessConnections = 50;
    std::atomic<std::size_t> mostUsed = 0;
    RawServer server([&](Tcp::socket &socket, unsigned connection) {
        RawServer::readHeader(socket);
        if (connection >= EndlessConnections) {
            RawServer::send(socket, KeptResponse);
            return;
        }
        RawServer::send(socket,
                        connection % 2 == 0 ? "HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\n"
                                            : "HTTP/1.1 200 OK\r\nx-id: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        const std::string piece(PieceBytes, 'b');
        while (RawServer::send(socket, connection % 2 == 0 ? piece : "4000\r\n" + piece + "\r\n")) {
            mostUsed = std::max<std::size_t>(mostUsed, budget->usedBytes());
        }
    });
    HttpClient client(running.context, optionsFor(server));
    std::vector<std::future<tl::expected<HttpResponse, ExchangeError>>> endless;
    for (unsigned number = 0; number < EndlessConnections; ++number) {
        endless.push_back(send(client));
    }
    auto ordinary = send(client);

    CHECK(ordinary.wait_for(LongWait) == std::future_status::ready);
    CHECK(ordinary.get().has_value());
    for (auto &future : endless) {
        CHECK(errorOf(std::move(future)) == ExchangeError::ResponseTooLarge);
    }
    CHECK(mostUsed <= std::size_t{4} * 1024 * 1024);
    LONGS_EQUAL(0, budget->usedBytes());
}

// Guards against a part of a response without length that passes as complete: the server resets the connection while the request is still
// being written, the write takes the error, and the read sees an ordinary end.
TEST(HttpClient, AResponseWithoutLengthIsNotCompleteIfAResetEndsTheUpload)
{
    for (const auto delay : {0ms, 20ms, 200ms}) {
        RawServer server([delay](Tcp::socket &socket, unsigned) {
            RawServer::readHeader(socket);
            RawServer::send(socket, "HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\npart ");
            std::this_thread::sleep_for(delay);
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
        });
        HttpClient client(running.context, optionsFor(server));

        CHECK(errorOf(send(client, std::string(std::size_t{4} * 1024 * 1024, 'u'))) == ExchangeError::Interrupted);
    }
}

// Guards against a malformed status line or header that is skipped as an interim response until the time-out, or passed on to a caller.
TEST(HttpClient, AMalformedHeadIsNoResponse)
{
    constexpr const char *Heads[] = {
        "HTTP/1.1 000 None\r\nx-id: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 099 None\r\nx-id: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 20 OK\r\nx-id: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 2000 OK\r\nx-id: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/3.1 200 OK\r\nx-id: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 1\r\nx a: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-a : 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 1\r\nx\ta: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 1\r\nx\x01: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 1\r\nx\xe4: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 1\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 1\r\nno colon\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    };
    for (const char *head : Heads) {
        RawServer server([head](Tcp::socket &socket, unsigned) {
            RawServer::readHeader(socket);
            RawServer::send(socket, head);
            // The client closes the connection.
            RawServer::readBytes(socket, 1);
        });
        HttpClient client(running.context, optionsFor(server));

        CHECK_TEXT(errorOf(send(client)) == ExchangeError::MalformedResponse, head);
    }
}

// Guards against a response that broke off halfway and is passed on as complete, with and without a length and in chunks.
TEST(HttpClient, AResponseThatBreaksOffIsNeverComplete)
{
    const std::array<const char *, 3> starts{"HTTP/1.1 200 OK\r\nx-id: 1\r\nContent-Length: 10\r\n\r\nhalf",
                                             "HTTP/1.1 200 OK\r\nx-id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                                             "HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nhalf"};
    RawServer server([&](Tcp::socket &socket, unsigned connection) {
        RawServer::readHeader(socket);
        RawServer::send(socket, starts.at(connection));
        // With a linger time of zero the connection is reset.
        socket.set_option(asio::socket_base::linger(connection == 2, 0));
        socket.close();
    });
    HttpClient client(running.context, optionsFor(server));

    for (std::size_t number = 0; number < starts.size(); ++number) {
        CHECK(errorOf(send(client)) == ExchangeError::Interrupted);
    }
}

// Guards against a second copy of a response that arrives late, on a connection that is in use again.
TEST(HttpClient, ALateSecondCopyOfAResponseIsNotTakenForTheNextOne)
{
    RawServer server([](Tcp::socket &socket, unsigned) {
        RawServer::readHeader(socket);
        RawServer::send(socket, KeptResponse);
        if (!RawServer::readHeader(socket).empty()) {
            RawServer::send(socket, KeptResponse);
            RawServer::send(socket, "HTTP/1.1 200 OK\r\nx-id: 2\r\nContent-Length: 3\r\n\r\nnew");
        }
    });
    HttpClient client(running.context, optionsFor(server));
    CHECK(send(client).get().has_value());
    auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "GET", .target = "/"});
    request->headers.add("x-id", "2");
    std::promise<tl::expected<HttpResponse, ExchangeError>> second;

    client.send(request, {}, [&](tl::expected<HttpResponse, ExchangeError> result) { second.set_value(std::move(result)); });

    const auto result = second.get_future().get();
    STRCMP_EQUAL("new", result.has_value() ? result->body.c_str() : "no response");
}

// Guards against an earlier refusal that a server writes once more on a kept connection, after the same request was sent to it again: it
// has the id of the request that runs now, which would be reported as not executed.
TEST(HttpClient, ARepeatedRefusalIsNotTakenForTheResponseToTheSameRequestSentAgain)
{
    constexpr const char *Refusal = "HTTP/1.1 503 Unavailable\r\nx-id: 1\r\nx-not-executed: 1\r\nContent-Length: 0\r\n\r\n";
    for (const std::size_t maxConnections : {std::size_t{1}, std::size_t{4}}) {
        std::atomic<bool> hasRefused = false;
        RawServer server([&](Tcp::socket &socket, unsigned) {
            bool hasRefusedHere = false;
            while (!RawServer::readHeader(socket).empty()) {
                if (!hasRefused.exchange(true)) {
                    hasRefusedHere = true;
                    RawServer::send(socket, Refusal);
                    continue;
                }
                if (hasRefusedHere) {
                    RawServer::send(socket, Refusal);
                }
                RawServer::send(socket, KeptResponse);
            }
        });
        HttpClientOptions options = optionsFor(server);
        options.maxConnections = maxConnections;
        HttpClient client(running.context, options);
        LONGS_EQUAL(503, send(client).get()->status);

        const auto second = send(client).get();

        CHECK_TEXT(!second || second->status == 200, "the copy of the refusal was taken for the response");
        client.stop();
    }
}

// Guards against the copy of an earlier refusal that is taken for the response to another request, if the server repeats no ids.
TEST(HttpClient, ARepeatedRefusalIsNotTakenForAResponseOfAServerThatRepeatsNoIds)
{
    RawServer server([](Tcp::socket &socket, unsigned connection) {
        RawServer::readHeader(socket);
        if (connection == 0) {
            RawServer::send(socket, "HTTP/1.1 503 Unavailable\r\nx-not-executed: 1\r\nContent-Length: 0\r\n\r\n");
            if (RawServer::readHeader(socket).empty()) {
                return;
            }
            RawServer::send(socket, "HTTP/1.1 503 Unavailable\r\nx-not-executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        RawServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    HttpClientOptions options = optionsFor(server);
    options.echoedField.clear();
    HttpClient client(running.context, options);
    LONGS_EQUAL(503, send(client).get()->status);

    const auto second = send(client).get();

    LONGS_EQUAL(200, second ? second->status : 0);
    client.stop();
}

// Guards against the beginning of an earlier refusal that a server writes once more and follows by the response to the request that runs:
// the status or the fields of the one, with the id of the other.
TEST(HttpClient, AFragmentOfAResponseIsNotJoinedWithTheNextOne)
{
    const std::string refusal
        = "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\nServer: a\r\nx-id: 0\r\nContent-Length: 0\r\n\r\n";
    const std::string success = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: 2\r\n\r\nok";
    RawServer server([&](Tcp::socket &socket, unsigned connection) {
        RawServer::readHeader(socket);
        RawServer::send(socket, refusal.substr(0, connection) + success);
    });

    for (std::size_t cutAt = 0; cutAt <= refusal.size(); ++cutAt) {
        HttpClient client(running.context, optionsFor(server));
        auto future = send(client);
        CHECK_TEXT(future.wait_for(LongWait) == std::future_status::ready, "the exchange does not end");
        const auto result = future.get();

        const bool isSuccess = result && result->status == 200 && !result->headers.contains("x-not-executed") && result->body == "ok";
        CHECK_TEXT(isSuccess || !result, ("a response was made of two, after " + std::to_string(cutAt) + " bytes").c_str());
    }
}

// Guards against a response that is cut off within its header, at any byte, and reaches the caller as complete, with an empty or short
// body; with a length, in chunks or ended by the connection, and with any end of the connection.
TEST(HttpClient, AResponseThatIsCutOffInItsHeaderIsNeverComplete)
{
    enum class End { Close, Reset, Silence };
    for (const char *framing : {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        const std::string header = std::string("HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n") + framing + "\r\n";
        for (const End end : {End::Close, End::Reset, End::Silence}) {
            RawServer server([&](Tcp::socket &socket, unsigned connection) {
                RawServer::readHeader(socket);
                RawServer::send(socket, header.substr(0, connection));
                if (end == End::Silence) {
                    // Ends when the client gives the connection up.
                    RawServer::readBytes(socket, 1);
                }
                socket.set_option(asio::socket_base::linger(end == End::Reset, 0));
                socket.close();
            });
            for (std::size_t cutAt = 0; cutAt <= header.size(); ++cutAt) {
                HttpClient client(running.context, optionsFor(server));
                auto future = send(client);
                if (end == End::Silence) {
                    CHECK_TEXT(future.wait_for(2ms) == std::future_status::timeout, "an incomplete response ends the exchange");
                    client.stop();
                }
                CHECK(errorOf(std::move(future)) == ExchangeError::Interrupted);
            }
        }
    }
}

// Guards against connections that are never reused because one of their requests was refused.
TEST(HttpClient, ARefusalDoesNotCloseItsConnectionForOtherRequests)
{
    std::atomic<unsigned> connections = 0;
    RawServer server([&](Tcp::socket &socket, unsigned) {
        ++connections;
        for (std::string header = RawServer::readHeader(socket); !header.empty(); header = RawServer::readHeader(socket)) {
            const std::string id = header.substr(header.find("request-"), 9);
            RawServer::send(socket, "HTTP/1.1 503 Unavailable\r\nx-id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        }
    });
    HttpClientOptions options = optionsFor(server);
    HttpClient client(running.context, options);
    const auto sendWithId = [&](const std::string &id) {
        auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "GET", .target = "/"});
        request->headers.add("x-id", id);
        std::promise<void> done;
        client.send(request, {}, [&](const auto &) { done.set_value(); });
        done.get_future().wait();
    };

    for (int number = 0; number < 5; ++number) {
        sendWithId("request-" + std::to_string(number));
    }

    LONGS_EQUAL(1, connections);
}

// Guards against a connection that is closed, or used for the next request in the middle of a body, after a server responded before it had
// read the whole body of a request.
TEST(HttpClient, AnEarlyResponseLeavesTheRestOfTheBodyInItsPlace)
{
    constexpr std::size_t BodyBytes = std::size_t{8} * 1024 * 1024;
    std::promise<std::string> rest;
    std::promise<std::string> nextHeader;
    std::promise<void> readOn;
    RawServer server([&](Tcp::socket &socket, unsigned) {
        RawServer::readHeader(socket);
        RawServer::send(socket, KeptResponse);
        readOn.get_future().wait();
        rest.set_value(RawServer::readBytes(socket, BodyBytes));
        nextHeader.set_value(RawServer::readHeader(socket));
        RawServer::send(socket, KeptResponse);
    });
    HttpClientOptions options = optionsFor(server);
    options.maxConnections = 1;
    HttpClient client(running.context, options);

    CHECK(send(client, std::string(BodyBytes, 'u')).get().has_value());
    auto next = send(client);
    readOn.set_value();

    CHECK(rest.get_future().get() == std::string(BodyBytes, 'u'));
    CHECK(nextHeader.get_future().get().starts_with("POST / HTTP/1.1\r\n"));
    CHECK(next.get().has_value());
}

// Guards against a handler that is called before `send` has returned: its caller has not stored the exchange yet.
TEST(HttpClient, AStoppedClientEndsRequestsAfterSendHasReturned)
{
    HttpClient client(running.context, {.server = Tcp::endpoint(asio::ip::address_v4::loopback(), 1)});
    client.stop();
    std::promise<bool> calledWithin;
    asio::post(running.context, [&] {
        const auto returned = std::make_shared<bool>(false);
        client.send(std::make_shared<HttpRequest>(), {}, [&, returned](const auto &) { calledWithin.set_value(!*returned); });
        *returned = true;
    });

    CHECK_FALSE(calledWithin.get_future().get());
}
