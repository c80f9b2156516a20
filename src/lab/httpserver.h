#pragma once

#include "lab/http.h"

#include <cstdint>
#include <functional>

namespace wisteriafork::lab {

// Connection on which a request arrived. Valid until the handler of the request returns.
class ClientConnection
{
public:
    explicit ClientConnection(beast::tcp_stream &stream) : m_stream(stream)
    {
    }

    // Whether the client has closed the connection. Does not consume any data.
    bool isClientDisconnected();

private:
    beast::tcp_stream &m_stream;
};

using HttpHandler = std::function<asio::awaitable<HttpResponse>(HttpRequest, ClientConnection)>;

// HTTP server on a loopback port. Passes each request to the handler, one at a time per connection.
class HttpServer
{
public:
    HttpServer(asio::io_context &context, std::uint16_t port, HttpHandler handler);

    // Starts to accept connections; returns at once.
    void start();

private:
    asio::awaitable<void> acceptConnections();
    asio::awaitable<void> serveConnection(beast::tcp_stream stream);

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    HttpHandler m_handler;
};

// Returns a response to the request with this JSON text as its body.
HttpResponse makeResponse(const HttpRequest &request, http::status status, std::string body);

} // namespace wisteriafork::lab
