#include "lab/httpserver.h"

#include <utility>

namespace wisteriafork::lab {

bool ClientConnection::isClientDisconnected()
{
    boost::system::error_code error;
    m_stream.socket().non_blocking(true, error);
    char byte = 0;
    m_stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::eof || error == asio::error::connection_reset;
}

HttpServer::HttpServer(asio::io_context &context, std::uint16_t port, HttpHandler handler)
    : m_context(context), m_acceptor(context, {asio::ip::address_v4::loopback(), port}), m_handler(std::move(handler))
{
}

void HttpServer::start()
{
    asio::co_spawn(m_context, acceptConnections(), asio::detached);
}

asio::awaitable<void> HttpServer::acceptConnections()
{
    for (;;) {
        boost::system::error_code error;
        asio::ip::tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        asio::co_spawn(m_context, serveConnection(beast::tcp_stream(std::move(socket))), asio::detached);
    }
}

asio::awaitable<void> HttpServer::serveConnection(beast::tcp_stream stream)
{
    beast::flat_buffer buffer;
    for (;;) {
        boost::system::error_code error;
        HttpRequest request;
        co_await http::async_read(stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const bool keepAlive = request.keep_alive();
        HttpResponse response = co_await m_handler(std::move(request), ClientConnection(stream));
        response.keep_alive(keepAlive && response.keep_alive());
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !response.keep_alive()) {
            co_return;
        }
    }
}

HttpResponse makeResponse(const HttpRequest &request, http::status status, std::string body)
{
    HttpResponse response(status, request.version());
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

} // namespace wisteriafork::lab
