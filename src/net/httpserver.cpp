#include "net/httpserver.h"

#include "net/httpserverconnection.h"
#include "net/listener.h"

#include <mutex>
#include <vector>

namespace wisteriafork {

class HttpServer::Private : public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(ServerHandler &handler, const HttpLimits &limits) : shared(std::make_shared<HttpServerShared>(handler, limits))
    {
    }

    void createListener(asio::io_context &context)
    {
        listener = std::make_shared<Listener>(context,
                                              Listener::Callbacks{.accepted =
                                                                      [weak = weak_from_this()](Socket socket) {
                                                                          if (const auto self = weak.lock()) {
                                                                              self->adopt(std::move(socket));
                                                                          }
                                                                      },
                                                                  .stopped =
                                                                      [weak = weak_from_this()] {
                                                                          if (const auto self = weak.lock()) {
                                                                              self->stopConnections();
                                                                          }
                                                                      }});
    }

    void adopt(Socket socket)
    {
        if (shared->connections >= shared->limits.connections) {
            return;
        }
        auto connection = std::make_shared<HttpServerConnection>(std::move(socket), shared);
        {
            const std::lock_guard lock(mutex);
            if (connections.size() >= 2 * shared->connections + 16) {
                std::erase_if(connections, [](const auto &weak) { return weak.expired(); });
            }
            connections.push_back(connection);
        }
        connection->start();
    }

    void stopConnections()
    {
        std::vector<std::weak_ptr<HttpServerConnection>> open;
        {
            const std::lock_guard lock(mutex);
            open.swap(connections);
        }
        for (const auto &weak : open) {
            if (const auto connection = weak.lock()) {
                connection->stop();
            }
        }
    }

    std::shared_ptr<Listener> listener;
    const std::shared_ptr<HttpServerShared> shared;
    std::mutex mutex;
    std::vector<std::weak_ptr<HttpServerConnection>> connections;
};

HttpServer::HttpServer(asio::io_context &context, ServerHandler &handler, const HttpLimits &limits)
    : d(std::make_shared<Private>(handler, limits))
{
    d->createListener(context);
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::listen(const Tcp::endpoint &address)
{
    d->listener->listen(address);
}

Tcp::endpoint HttpServer::address() const
{
    return d->listener->address();
}

void HttpServer::closeAfterAnswers()
{
    d->shared->closeAfterAnswers = true;
}

void HttpServer::stop()
{
    d->shared->closeAfterAnswers = true;
    d->listener->stop();
}

std::size_t HttpServer::connectionCount() const
{
    return d->shared->connections;
}

} // namespace wisteriafork
