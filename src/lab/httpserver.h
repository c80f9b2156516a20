#pragma once

#include "lab/http.h"

#include <cstdint>
#include <functional>

namespace wisteriafork::lab {

// Connection of a request under way; tells whether the client has closed it.
class RequestContext
{
public:
    explicit RequestContext(beast::tcp_stream &stream) : m_stream(stream)
    {
    }

    bool clientGone();

private:
    beast::tcp_stream &m_stream;
};

using HttpHandler = std::function<asio::awaitable<HttpResponse>(HttpRequest, RequestContext)>;

// Accepts connections on a loopback port and passes each request to the handler. One request at a time per connection.
class HttpServer
{
public:
    HttpServer(asio::io_context &context, std::uint16_t port, HttpHandler handler);

    void start();

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(beast::tcp_stream stream);

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    HttpHandler m_handler;
};

// Answer with a JSON body.
HttpResponse makeResponse(const HttpRequest &request, http::status status, std::string body);

} // namespace wisteriafork::lab
