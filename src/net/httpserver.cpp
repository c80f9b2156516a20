#include "net/httpserver.h"

#include "net/connectionacceptor.h"
#include "net/httpserverconnection.h"

#include <utility>

namespace wisteriafork {

class HttpServer::Impl
{
public:
    using Acceptor = ConnectionAcceptor<HttpServerConnection>;

    Impl(asio::io_context &context, ServerHandler &handler, const HttpLimits &limits)
        : shared(std::make_shared<HttpServerShared>(handler, limits))
        , acceptor(Acceptor::create(
              context,
              {.createConnection = [shared = shared](Socket socket) { return acceptConnection(std::move(socket), shared); },
               .stopConnection =
                   [](HttpServerConnection &connection) {
                       connection.stop();
                   }}))
    {
    }

    static std::shared_ptr<HttpServerConnection> acceptConnection(Socket socket, const std::shared_ptr<HttpServerShared> &shared)
    {
        const std::shared_ptr<ConnectionLedger> &ledger = shared->limits.connectionLedger;
        if (shared->openConnections >= shared->limits.connections || (ledger && !ledger->makeRoom())) {
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
    : m_impl(std::make_shared<Impl>(context, handler, limits))
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::listen(const Tcp::endpoint &address)
{
    m_impl->acceptor->listener().listen(address);
}

Tcp::endpoint HttpServer::address() const
{
    return m_impl->acceptor->listener().address();
}

void HttpServer::setRequestBounds(std::size_t headerBytes, std::size_t bodyBytes)
{
    m_impl->shared->headerBytes = headerBytes;
    m_impl->shared->bodyBytes = bodyBytes;
}

void HttpServer::closeAfterResponses()
{
    m_impl->shared->closeAfterResponses = true;
}

void HttpServer::refuseUnfinishedRequests()
{
    m_impl->acceptor->forEachConnection([](HttpServerConnection &connection) { connection.refuseUnfinishedRequest(); });
}

void HttpServer::stop()
{
    m_impl->shared->closeAfterResponses = true;
    m_impl->acceptor->listener().stop();
}

std::size_t HttpServer::writingConnectionCount() const
{
    return m_impl->shared->writingConnections;
}

std::size_t HttpServer::connectionCount() const
{
    return m_impl->shared->openConnections;
}

} // namespace wisteriafork
