#include "admin/adminsettings.h"
#include "admin/runningserver.h"
#include "admin/testkeys.h"
#include "ctl/nodeclient.h"

#include <array>
#include <filesystem>
#include <optional>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

// Plain socket to the server, to send data that no HTTP client would send.
class RawClient
{
public:
    explicit RawClient(std::uint16_t port) : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const timeval timeout{.tv_sec = 10, .tv_usec = 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_connected = ::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }

    ~RawClient()
    {
        ::close(m_socket);
    }

    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    bool connected() const
    {
        return m_connected;
    }

    void send(const std::string &text)
    {
        ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
    }

    // Half-closes the connection and returns all data up to its end; empty if none arrived within 10 s.
    std::string readToEnd()
    {
        ::shutdown(m_socket, SHUT_WR);
        std::string text;
        std::array<char, 4096> buffer{};
        for (ssize_t size = 0; (size = ::recv(m_socket, buffer.data(), buffer.size(), 0)) > 0;) {
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

private:
    int m_socket;
    bool m_connected = false;
};

const std::string Authorization = "Host: a\r\nAuthorization: Bearer reader-secret-0001\r\n";

} // namespace

TEST_GROUP(AdminServer){std::string exchange(RunningServer & server, const std::string &request){RawClient client(server.server->port());
CHECK(client.connected());
client.send(request);
return client.readToEnd();
}

void expectStatus(unsigned status, const std::string &response)
{
    const std::string expected = "HTTP/1.1 " + std::to_string(status) + " ";
    CHECK_TEXT(response.starts_with(expected), ("expected " + expected + ", found " + response.substr(0, 80)).c_str());
}
}
;

// Guards against requests that pass the handler but not the sockets.
TEST(AdminServer, servesSeveralRequestsOnOneConnection)
{
    RunningServer server;

    const std::string response = exchange(server,
                                          "GET /v1/status HTTP/1.1\r\n" + Authorization + "\r\n" + "GET /metrics HTTP/1.1\r\n"
                                              + Authorization + "Connection: close\r\n\r\n");

    expectStatus(200, response);
    STRCMP_CONTAINS("registar-osijek-1", response.c_str());
    STRCMP_CONTAINS("wisteriafork_draining 0\n", response.c_str());
}

// Guards against a request that is served over the socket without the right token.
TEST(AdminServer, refusesWrongTokensAndMissingRights)
{
    RunningServer server;

    const std::string wrong = exchange(server, "GET /v1/status HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer wrong-secret-0001\r\n\r\n");
    expectStatus(401, wrong);
    STRCMP_CONTAINS("WWW-Authenticate: Bearer", wrong.c_str());
    expectStatus(403, exchange(server, "POST /v1/drain HTTP/1.1\r\n" + Authorization + "Content-Length: 0\r\n\r\n"));
    CHECK_FALSE(server.source.draining);
    expectStatus(403,
                 exchange(server,
                          "GET /v1/outcomes?workspace=inspectors HTTP/1.1\r\nHost: a\r\n"
                          "Authorization: Bearer growers-secret-001\r\n\r\n"));
}

// Guards against input that is too large, malformed or truncated, which must neither be served nor affect the next request.
TEST(AdminServer, survivesOversizedAndMalformedInput)
{
    AdminOptions options = testOptions();
    options.maximumBodyBytes = 1000;
    options.maximumHeaderBytes = 2000;
    RunningServer server(options);
    const std::string post = "POST /v1/questionnaire/dry-run HTTP/1.1\r\n" + Authorization;

    expectStatus(413, exchange(server, post + "Content-Length: 1001\r\n\r\n" + std::string(1001, 'x')));
    expectStatus(413, exchange(server, post + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'x') + "\r\n0\r\n\r\n"));
    expectStatus(431, exchange(server, "GET /v1/status HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n"));
    expectStatus(400, exchange(server, std::string("\x16\x03\x01 binary \0 text\r\n\r\n", 21)));
    expectStatus(400, exchange(server, "GET /v1/status HTTP/9.9\r\n\r\n"));
    STRCMP_EQUAL("", exchange(server, post + "Content-Length: 900\r\n\r\nshort").c_str());
    const std::string invalid = exchange(server, post + "Content-Length: 7\r\nConnection: close\r\n\r\n{\"a\": [");
    expectStatus(200, invalid);
    STRCMP_CONTAINS("\"valid\":false", invalid.c_str());
    expectStatus(200, exchange(server, "GET /v1/status HTTP/1.1\r\n" + Authorization + "\r\n"));
}

// Guards against idle clients that hold all connections, so that an operator cannot connect.
TEST(AdminServer, boundsConnectionsAndTheirTime)
{
    AdminOptions options = testOptions();
    options.maximumConnections = 2;
    options.requestTimeout = 300ms;
    RunningServer server(options);
    RawClient first(server.server->port());
    RawClient second(server.server->port());
    first.send("GET /v1");
    second.send("G");

    RawClient third(server.server->port());
    third.send("GET /v1/status HTTP/1.1\r\n" + Authorization + "\r\n");
    STRCMP_EQUAL("", third.readToEnd().c_str());

    std::this_thread::sleep_for(1s);
    expectStatus(200, exchange(server, "GET /v1/status HTTP/1.1\r\n" + Authorization + "\r\n"));
}

// Guards against settings that open the API to the network without protection.
TEST(AdminServer, refusesUnsafeSettings)
{
    boost::asio::io_context context;
    FakeSource source;
    std::ostringstream output;
    EventLog log({}, output);
    const auto errorOf = [&](auto change) {
        AdminOptions options = testOptions();
        change(options);
        const auto started = AdminServer::start(context, options, source, log);
        return started ? std::nullopt : std::optional(started.error());
    };

    CHECK(errorOf([](AdminOptions &options) { options.address = "0.0.0.0"; }) == AdminStartError::RemoteNotAllowed);
    CHECK(errorOf([](AdminOptions &options) {
              options.address = "0.0.0.0";
              options.allowRemote = true;
          })
          == AdminStartError::RemoteWithoutTls);
    CHECK(errorOf([](AdminOptions &options) { options.tokens.clear(); }) == AdminStartError::NoToken);
    CHECK(errorOf([](AdminOptions &options) { options.tokens[0].secret = "short"; }) == AdminStartError::TokenTooShort);
    CHECK(errorOf([](AdminOptions &options) { options.address = "localhost"; }) == AdminStartError::AddressInvalid);
    CHECK(errorOf([](AdminOptions &options) { options.tls = {.certificateFile = "missing.pem", .keyFile = "missing.pem"}; })
          == AdminStartError::KeysInvalid);
}

// Guards against settings that are read other than documented, and against findings that are reported one at a time.
TEST(AdminServer, readsItsSettings)
{
    const auto read = [](const std::string &text, Findings &findings) {
        const auto document = parseLocatedJson(text, 10'000);
        CHECK(document.has_value());
        return readAdminOptions(*document, document->value, "", "/etc/wf", findings);
    };
    Findings findings;
    const AdminOptions options = read(R"({"address": "::1", "tls": {"certificate": "a.pem", "key": "/b.pem"},
        "tokens": [{"name": "x", "secret": "0123456789abcdef", "right": "operator", "workspaces": ["growers"]}]})",
                                      findings);
    CHECK(findings.empty());
    STRCMP_EQUAL("/etc/wf/a.pem", options.tls.certificateFile.c_str());
    STRCMP_EQUAL("/b.pem", options.tls.keyFile.c_str());
    LONGS_EQUAL(7300, options.port);
    CHECK_FALSE(options.allowRemote);
    CHECK(options.tokens[0].right == AccessRight::Operator && options.tokens[0].workspaces[0].value() == "growers");

    read(R"({"port": 0, "tokens": [{"name": "x", "secret": "short", "right": "admin", "workspaces": []}], "open": true})", findings);
    LONGS_EQUAL(5, findings.size());
}

// Guards against new keys that take effect only after a restart, and against unusable keys that replace working ones.
TEST(AdminServer, reloadsTlsKeys)
{
    const auto folder = std::filesystem::temp_directory_path() / ("wisteriafork-admin-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    AdminOptions options = testOptions();
    options.tls = {.certificateFile = folder / "certificate.pem", .keyFile = folder / "key.pem"};
    options.keyCheckInterval = 50ms;
    const std::string oldCertificate = folder / "old.pem";
    CHECK(writeTestKeys(options.tls.certificateFile, options.tls.keyFile));
    std::filesystem::copy_file(options.tls.certificateFile, oldCertificate);
    {
        RunningServer server(options);
        CHECK(server.server != nullptr);
        const std::string url = "https://127.0.0.1:" + std::to_string(server.server->port());
        const auto requestStatus = [&](const std::string &caFile) {
            return sendNodeRequest({.url = url, .token = "reader-secret-0001", .caFile = caFile, .timeout = 5s}, "GET", "/v1/status");
        };
        CHECK(requestStatus(oldCertificate).has_value());
        LONGS_EQUAL(200, requestStatus(oldCertificate)->status);

        CHECK(writeTestKeys(options.tls.certificateFile, options.tls.keyFile));
        // The periodic check finds the new keys; waits 10 s at most.
        for (int tries = 0; tries < 100 && requestStatus(oldCertificate).has_value(); ++tries) {
            std::this_thread::sleep_for(100ms);
        }
        CHECK_FALSE(requestStatus(oldCertificate).has_value());
        CHECK(requestStatus(options.tls.certificateFile).has_value());
        CHECK(server.server->reloadKeys());

        CHECK(writeTestKeys(folder / "other.pem", options.tls.keyFile));
        CHECK_FALSE(server.server->reloadKeys());
        CHECK(requestStatus(options.tls.certificateFile).has_value());
        CHECK_FALSE(sendNodeRequest({.url = "http" + url.substr(5), .token = {}, .caFile = {}, .timeout = 5s}, "GET", "/").has_value());
    }
    std::filesystem::remove_all(folder);
}
