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

// HTTP client that keeps idle connections to each endpoint for later requests. The load generator and the stand-in servers send with it.
class HttpClient
{
public:
    explicit HttpClient(asio::io_context &context);

    // Sends a request and returns the complete response. `timeout` limits the connection attempt and the exchange separately. After a
    // timeout the connection is closed, as clients do that are not aware of wisteriafork.
    asio::awaitable<tl::expected<HttpResponse, HttpError>> send(asio::ip::tcp::endpoint endpoint, HttpRequest request,
                                                                std::chrono::milliseconds timeout);

private:
    using Stream = beast::tcp_stream;

    // Returns an idle connection to the endpoint that is still open, or null.
    std::unique_ptr<Stream> takeIdleConnection(const asio::ip::tcp::endpoint &endpoint);

    asio::io_context &m_context;
    std::map<asio::ip::tcp::endpoint, std::vector<std::unique_ptr<Stream>>> m_idleConnections;
};

} // namespace wisteriafork::lab
