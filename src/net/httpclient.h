#pragma once

#include "net/asio.h"
#include "net/clientexchange.h"
#include "net/httplimits.h"
#include "net/requestsender.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace wisteriafork {

struct HttpClientOptions
{
    Tcp::endpoint server;
    // Connections that are open at the same time; further requests wait.
    std::size_t maxConnections = 64;
    std::chrono::milliseconds connectTimeout{1000};
    // Unused connections are closed after this time. It should be shorter than the server's own keep-alive time, because a request that
    // meets a closing connection has an unknown outcome.
    std::chrono::milliseconds idleTimeout{4000};
    // Probe a silent connection after this time, and give it up after a few unanswered probes; zero leaves it to the system's defaults.
    std::chrono::seconds keepAliveProbeInterval{0};
    // Accept answers whose body ends with the connection, if it is closed in order.
    bool allowCloseDelimited = false;
    // Header field that the server repeats from the request, in lower case. An answer with another value belongs to an earlier request and
    // is skipped. Empty if the server repeats none.
    std::string echoedField;
    HttpLimits limits;
};

// HTTP/1.1 client with a bounded pool of keep-alive connections to one server.
class HttpClient : public RequestSender
{
public:
    HttpClient(asio::io_context &context, const HttpClientOptions &options);
    ~HttpClient() override;

    std::shared_ptr<ClientExchange> send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra, ResponseHandler handler) override;
    // Closes all connections.
    void stop();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace wisteriafork
