#include "lab/httpclient.h"

#include <utility>

namespace wisteriafork::lab {

namespace {

constexpr std::size_t MaxIdleConnectionsPerEndpoint = 256;

} // namespace

HttpClient::HttpClient(asio::io_context &context) : m_context(context)
{
}

std::unique_ptr<HttpClient::Stream> HttpClient::takeIdleConnection(const asio::ip::tcp::endpoint &endpoint)
{
    std::vector<std::unique_ptr<Stream>> &idle = m_idleConnections[endpoint];
    while (!idle.empty()) {
        std::unique_ptr<Stream> stream = std::move(idle.back());
        idle.pop_back();
        // No response is due on an idle connection: if it is readable, the peer has closed it.
        boost::system::error_code error;
        stream->socket().non_blocking(true, error);
        char byte = 0;
        stream->socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        if (error == asio::error::would_block) {
            return stream;
        }
    }
    return nullptr;
}

asio::awaitable<tl::expected<HttpResponse, HttpError>> HttpClient::send(asio::ip::tcp::endpoint endpoint, HttpRequest request,
                                                                        std::chrono::milliseconds timeout)
{
    boost::system::error_code error;
    std::unique_ptr<Stream> stream = takeIdleConnection(endpoint);
    if (!stream) {
        stream = std::make_unique<Stream>(m_context);
        stream->expires_after(timeout);
        co_await stream->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return tl::make_unexpected(error == beast::error::timeout ? HttpError::TimedOut : HttpError::ConnectionRefused);
        }
        stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
    }
    stream->expires_after(timeout);
    request.prepare_payload();
    co_await http::async_write(*stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return tl::make_unexpected(error == beast::error::timeout ? HttpError::TimedOut : HttpError::ConnectionBroken);
    }
    beast::flat_buffer buffer;
    HttpResponse response;
    co_await http::async_read(*stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return tl::make_unexpected(error == beast::error::timeout ? HttpError::TimedOut : HttpError::ConnectionBroken);
    }
    if (response.keep_alive() && m_idleConnections[endpoint].size() < MaxIdleConnectionsPerEndpoint) {
        stream->expires_never();
        m_idleConnections[endpoint].push_back(std::move(stream));
    }
    co_return response;
}

} // namespace wisteriafork::lab
