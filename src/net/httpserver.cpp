#include "net/httpserver.h"

#include "net/connectionacceptor.h"
#include "net/httpserverconnection.h"

#include <utility>

namespace wisteriafork {

class HttpServer::Private
{
public:
    using Acceptor = ConnectionAcceptor<HttpServerConnection>;

    Private(asio::io_context &context, ServerHandler &handler, const HttpLimits &limits)
        : shared(std::make_shared<HttpServerShared>(handler, limits))
        , acceptor(Acceptor::create(context,
                                    {.accept = [shared = shared](Socket socket) { return accept(std::move(socket), shared); },
                                     .stop =
                                         [](HttpServerConnection &connection) {
                                             connection.stop();
                                         }}))
    {
    }

    static std::shared_ptr<HttpServerConnection> accept(Socket socket, const std::shared_ptr<HttpServerShared> &shared)
    {
        if (shared->connections >= shared->limits.connections) {
            return nullptr;
        }
        auto connection = std::make_shared<HttpServerConnection>(std::move(socket), shared);
        connection->start();
        return connection;
    }

    const std::shared_ptr<HttpServerShared> shared;
    const std::shared_ptr<Acceptor> acceptor;
};

HttpServer::HttpServer(asio::io_context &context, ServerHandler &handler, const HttpLimits &limits)
    : d(std::make_shared<Private>(context, handler, limits))
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::listen(const Tcp::endpoint &address)
{
    d->acceptor->listener().listen(address);
}

Tcp::endpoint HttpServer::address() const
{
    return d->acceptor->listener().address();
}

void HttpServer::closeAfterResponses()
{
    d->shared->closeAfterResponses = true;
}

void HttpServer::stop()
{
    d->shared->closeAfterResponses = true;
    d->acceptor->listener().stop();
}

std::size_t HttpServer::connectionCount() const
{
    return d->shared->connections;
}

} // namespace wisteriafork
