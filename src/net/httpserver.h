#pragma once

#include "net/asio.h"
#include "net/httplimits.h"
#include "net/serverexchange.h"

#include <cstddef>
#include <memory>

namespace wisteriafork {

// HTTP/1.1 server. Each request is passed to the handler when it is complete. A connection runs one request at a time; pipelined requests
// wait. The handler must outlive the server and its connections.
class HttpServer
{
public:
    HttpServer(asio::io_context &context, ServerHandler &handler, const HttpLimits &limits);
    ~HttpServer();

    // Binds to the address and starts to accept connections. Throws boost::system::system_error if that fails.
    void listen(const Tcp::endpoint &address);
    // Address that the server is bound to, with the port that the system chose for port 0.
    Tcp::endpoint address() const;
    // Sets the bounds of the header and the body of a request, for requests that have not started to arrive.
    void setRequestBounds(std::size_t headerBytes, std::size_t bodyBytes);
    // Makes each connection close after its next response. The server still accepts connections.
    void closeAfterResponses();
    // Responds with 503 to the requests that have arrived in part, and closes their connections. Such a request has not been passed on.
    void refuseUnfinishedRequests();
    // Stops listening. Connections close after their current response, idle ones after a short time.
    void stop();
    // Number of open connections.
    std::size_t connectionCount() const;
    // Number of connections that are writing a response.
    std::size_t writingConnectionCount() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace wisteriafork
