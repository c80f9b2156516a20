#pragma once

#include "lab/http.h"
#include "lab/httperror.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace wisteriafork::lab {

// HTTP client with kept-alive connections per endpoint. Used by the load generator and by the stand-ins for their own calls.
class HttpClient
{
public:
    explicit HttpClient(asio::io_context &context);

    // Sends a request and reads the whole answer. A connection whose request timed out is closed, as an old client does.
    asio::awaitable<tl::expected<HttpResponse, HttpError>> send(asio::ip::tcp::endpoint endpoint, HttpRequest request,
                                                                std::chrono::milliseconds timeout);

private:
    using Stream = beast::tcp_stream;

    std::unique_ptr<Stream> takeIdle(const asio::ip::tcp::endpoint &endpoint);

    asio::io_context &m_context;
    std::map<asio::ip::tcp::endpoint, std::vector<std::unique_ptr<Stream>>> m_idle;
};

} // namespace wisteriafork::lab
