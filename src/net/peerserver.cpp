#include "net/peerserver.h"

#include "net/connectionacceptor.h"
#include "net/peerserversession.h"

#include <atomic>
#include <utility>

namespace wisteriafork {

class PeerServer::Impl
{
public:
    using Acceptor = ConnectionAcceptor<PeerServerSession>;

    Impl(asio::io_context &context, ServerHandler &handler, const PeerOptions &options)
        : load(std::make_shared<PeerServerLoad>())
        , acceptor(Acceptor::create(
              context,
              {.createConnection
               = [&handler, options, load = load](Socket socket) { return acceptSession(std::move(socket), handler, options, load); },
               .stopConnection =
                   [](PeerServerSession &session) {
                       session.shutDown();
                   }}))
    {
    }

    static std::shared_ptr<PeerServerSession> acceptSession(Socket socket, ServerHandler &handler, const PeerOptions &options,
                                                            const std::shared_ptr<PeerServerLoad> &load)
    {
        if (load->openSessions >= options.limits.connections) {
            return nullptr;
        }
        auto session = std::make_shared<PeerServerSession>(makePeerTransport(std::move(socket), options.tls), options, handler, load);
        session->start();
        return session;
    }

    const std::shared_ptr<PeerServerLoad> load;
    const std::shared_ptr<Acceptor> acceptor;
};

PeerServer::PeerServer(asio::io_context &context, ServerHandler &handler, const PeerOptions &options)
    : m_impl(std::make_shared<Impl>(context, handler, options))
{
}

PeerServer::~PeerServer()
{
    stop();
}

void PeerServer::listen(const Tcp::endpoint &address)
{
    m_impl->acceptor->listener().listen(address);
}

Tcp::endpoint PeerServer::address() const
{
    return m_impl->acceptor->listener().address();
}

void PeerServer::stop()
{
    m_impl->acceptor->listener().stop();
}

std::size_t PeerServer::sessionCount() const
{
    return m_impl->load->openSessions;
}

std::size_t PeerServer::openStreamCount() const
{
    return m_impl->load->openStreams;
}

} // namespace wisteriafork
