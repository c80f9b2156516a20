#include "net/httpserver.h"

#include "net/httpserverconnection.h"

#include <mutex>
#include <vector>

namespace wisteriafork {

namespace {

// Pause after a failed accept, for example when no file descriptor is left.
constexpr std::chrono::milliseconds AcceptPause{10};

} // namespace

class HttpServer::Private : public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(asio::io_context &ioContext, ServerHandler &handler, const HttpLimits &limits)
        : context(ioContext)
        , acceptor(asio::make_strand(ioContext))
        , pause(acceptor.get_executor())
        , shared(std::make_shared<HttpServerShared>(handler, limits))
    {
    }

    void accept()
    {
        acceptor.async_accept(asio::make_strand(context), [self = shared_from_this()](const ErrorCode &error, Socket socket) {
            self->onAccepted(error, std::move(socket));
        });
    }

    void onAccepted(const ErrorCode &error, Socket socket)
    {
        if (!acceptor.is_open()) {
            return;
        }
        if (error) {
            pause.expires_after(AcceptPause);
            pause.async_wait([self = shared_from_this()](const ErrorCode &) {
                if (self->acceptor.is_open()) {
                    self->accept();
                }
            });
            return;
        }
        adopt(std::move(socket));
        accept();
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

    // Connections that the kernel has completed would be reset with the listener, so they are taken first.
    void acceptWaiting()
    {
        ErrorCode error;
        acceptor.non_blocking(true, error);
        while (!error) {
            Socket socket(asio::make_strand(context));
            acceptor.accept(socket, error);
            if (!error) {
                adopt(std::move(socket));
            }
        }
    }

    void stop()
    {
        if (acceptor.is_open()) {
            acceptWaiting();
            ErrorCode error;
            acceptor.close(error);
        }
        std::vector<std::weak_ptr<HttpServerConnection>> stopping;
        {
            const std::lock_guard lock(mutex);
            stopping.swap(connections);
        }
        for (const auto &weak : stopping) {
            if (const auto connection = weak.lock()) {
                connection->stop();
            }
        }
    }

    asio::io_context &context;
    Acceptor acceptor;
    Timer pause;
    std::shared_ptr<HttpServerShared> shared;
    std::mutex mutex;
    std::vector<std::weak_ptr<HttpServerConnection>> connections;
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
    d->acceptor.open(address.protocol());
    d->acceptor.set_option(Acceptor::reuse_address(true));
    d->acceptor.bind(address);
    d->acceptor.listen();
    d->accept();
}

Tcp::endpoint HttpServer::address() const
{
    return d->acceptor.local_endpoint();
}

void HttpServer::closeAfterAnswers()
{
    d->shared->closeAfterAnswers = true;
}

void HttpServer::stop()
{
    d->shared->closeAfterAnswers = true;
    asio::dispatch(d->acceptor.get_executor(), [self = d] { self->stop(); });
}

std::size_t HttpServer::connectionCount() const
{
    return d->shared->connections;
}

} // namespace wisteriafork
