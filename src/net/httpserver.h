#pragma once

#include "net/asio.h"
#include "net/httplimits.h"
#include "net/serverexchange.h"

#include <cstddef>
#include <memory>

namespace wisteriafork {

// HTTP/1.1 listener. Requests are received whole and handed to the handler; each connection runs one request at a time, and pipelined
// requests wait. The handler must outlive the server and its connections.
class HttpServer
{
public:
    HttpServer(asio::io_context &context, ServerHandler &handler, const HttpLimits &limits);
    ~HttpServer();

    // Binds to the address. Throws boost::system::system_error if that fails.
    void listen(const Tcp::endpoint &address);
    Tcp::endpoint address() const;
    // From now on each answer closes its connection.
    void closeAfterResponses();
    // Stops listening. Connections close after their current answer, unused ones after a short time.
    void stop();
    // Connections that are open.
    std::size_t connectionCount() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace wisteriafork
