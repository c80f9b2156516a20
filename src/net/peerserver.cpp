#include "net/peerserver.h"

#include "net/connectionacceptor.h"
#include "net/peerserversession.h"

#include <atomic>
#include <utility>

namespace wisteriafork {

class PeerServer::Private
{
public:
    using Acceptor = ConnectionAcceptor<PeerServerSession>;

    Private(asio::io_context &context, ServerHandler &handler, const PeerOptions &options)
        : count(std::make_shared<std::atomic<std::size_t>>(0))
        , acceptor(Acceptor::create(
              context,
              {.accept = [&handler, options, count = count](Socket socket) { return accept(std::move(socket), handler, options, count); },
               .stop =
                   [](PeerServerSession &session) {
                       session.shutDown();
                   }}))
    {
    }

    static std::shared_ptr<PeerServerSession> accept(Socket socket, ServerHandler &handler, const PeerOptions &options,
                                                     const std::shared_ptr<std::atomic<std::size_t>> &count)
    {
        if (*count >= options.limits.connections) {
            return nullptr;
        }
        auto session = std::make_shared<PeerServerSession>(makePeerTransport(std::move(socket), options.tls), options, handler, count);
        session->start();
        return session;
    }

    const std::shared_ptr<std::atomic<std::size_t>> count;
    const std::shared_ptr<Acceptor> acceptor;
};

PeerServer::PeerServer(asio::io_context &context, ServerHandler &handler, const PeerOptions &options)
    : d(std::make_shared<Private>(context, handler, options))
{
}

PeerServer::~PeerServer()
{
    stop();
}

void PeerServer::listen(const Tcp::endpoint &address)
{
    d->acceptor->listener().listen(address);
}

Tcp::endpoint PeerServer::address() const
{
    return d->acceptor->listener().address();
}

void PeerServer::stop()
{
    d->acceptor->listener().stop();
}

std::size_t PeerServer::sessionCount() const
{
    return *d->count;
}

} // namespace wisteriafork
