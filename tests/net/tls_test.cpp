#include "echoserver.h"
#include "testcertificates.h"

#include "net/peerpool.h"

#include <future>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

PeerOptions withTls(const TlsFiles &files)
{
    PeerOptions options;
    options.tls = std::make_shared<TlsContext>(files);
    return options;
}

} // namespace

TEST_GROUP(Tls)
{
    TestAuthority fleet{"fleet"};
    TestAuthority stranger{"stranger"};
    EchoHandler handler;
    RunningContext running;

    // Sends one request from a client to a server with these options.
    tl::expected<HttpResponse, ExchangeError> call(const PeerOptions &serverOptions, const PeerOptions &clientOptions)
    {
        PeerServer server(running.context, handler, serverOptions);
        server.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        std::ostringstream address;
        address << server.address();
        PeerPool pool(running.context, clientOptions);
        HttpHeaders headers;
        headers.add(":path", "/a");
        std::promise<tl::expected<HttpResponse, ExchangeError>> promise;
        auto request = std::make_shared<HttpRequest>();
        request->body = std::string(100000, 'b');
        pool.send(address.str(), request, headers,
                  [&promise](tl::expected<HttpResponse, ExchangeError> result) { promise.set_value(std::move(result)); });
        return promise.get_future().get();
    }
};

// Guards against nodes of one fleet that reject each other.
TEST(Tls, connectsNodesOfOneAuthority)
{
    const auto result = call(withTls(fleet.issue("server", fleet)), withTls(fleet.issue("client", fleet)));

    CHECK(result.has_value());
    CHECK_EQUAL(100008U, result->body.size());
}

// Guards against accepting requests from a process without a certificate of the fleet.
TEST(Tls, rejectsAClientOfAnotherAuthority)
{
    const auto result = call(withTls(fleet.issue("server", fleet)), withTls(stranger.issue("client", fleet)));

    CHECK_FALSE(result.has_value());
    CHECK_EQUAL(0, handler.received.load());
}

// Guards against sending requests to a process without a certificate of the fleet.
TEST(Tls, rejectsAServerOfAnotherAuthority)
{
    const auto result = call(withTls(stranger.issue("server", fleet)), withTls(fleet.issue("client", fleet)));

    CHECK(result.error() == ExchangeError::NotProcessed);
    CHECK_EQUAL(0, handler.received.load());
}

// Guards against accepting plain text on a port that requires TLS.
TEST(Tls, rejectsPlainText)
{
    const auto result = call(withTls(fleet.issue("server", fleet)), {});

    CHECK_FALSE(result.has_value());
    CHECK_EQUAL(0, handler.received.load());
}
