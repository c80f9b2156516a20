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
    // Connections that are open at the same time. Further requests wait in a queue without limit.
    std::size_t maxConnections = 64;
    std::chrono::milliseconds connectTimeout{1000};
    // Idle connections are closed after this time. It should be shorter than the keep-alive time of the server, because the outcome of a
    // request is unknown if the server closes the connection while the request is sent.
    std::chrono::milliseconds idleTimeout{4000};
    // A silent connection is probed with TCP keep-alive at this interval and closed after two unanswered probes; zero disables the probes.
    std::chrono::seconds keepAliveProbeInterval{0};
    // Accept responses whose body is delimited by the end of the connection, if the server closes it without a reset.
    bool allowCloseDelimited = false;
    // Name, in lower case, of a header field that the server copies from the request to the response. A response with another value belongs
    // to an earlier request and is skipped. Empty if the server copies no field.
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
    void probe(std::function<void(bool accepted)> handler) override;
    // Closes all connections. Requests in progress end with `Interrupted`; waiting and further requests end with `NotProcessed`.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace wisteriafork
