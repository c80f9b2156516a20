#include "net/peerserver.h"

#include "net/peerserversession.h"

#include <atomic>
#include <mutex>
#include <vector>

namespace wisteriafork {

namespace {

// Pause after a failed accept, for example when no file descriptor is left.
constexpr std::chrono::milliseconds AcceptPause{10};

} // namespace

class PeerServer::Private : public std::enable_shared_from_this<PeerServer::Private>
{
public:
    Private(asio::io_context &ioContext, ServerHandler &serverHandler, const PeerOptions &peerOptions)
        : context(ioContext)
        , handler(serverHandler)
        , options(peerOptions)
        , acceptor(asio::make_strand(ioContext))
        , pause(acceptor.get_executor())
        , count(std::make_shared<std::atomic<std::size_t>>(0))
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
        if (*count < options.limits.connections) {
            adopt(std::move(socket));
        }
        accept();
    }

    void adopt(Socket socket)
    {
        const auto session
            = std::make_shared<PeerServerSession>(makePeerTransport(std::move(socket), options.tls), options, handler, count);
        {
            const std::lock_guard lock(mutex);
            if (sessions.size() >= 2 * *count + 16) {
                std::erase_if(sessions, [](const auto &weak) { return weak.expired(); });
            }
            sessions.push_back(session);
        }
        session->start();
    }

    void stop()
    {
        ErrorCode ignored;
        acceptor.close(ignored);
        std::vector<std::weak_ptr<PeerServerSession>> stopping;
        {
            const std::lock_guard lock(mutex);
            stopping.swap(sessions);
        }
        for (const auto &weak : stopping) {
            if (const auto session = weak.lock()) {
                session->shutDown();
            }
        }
    }

    asio::io_context &context;
    ServerHandler &handler;
    const PeerOptions options;
    Acceptor acceptor;
    Timer pause;
    std::shared_ptr<std::atomic<std::size_t>> count;
    std::mutex mutex;
    std::vector<std::weak_ptr<PeerServerSession>> sessions;
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
    d->acceptor.open(address.protocol());
    d->acceptor.set_option(Acceptor::reuse_address(true));
    d->acceptor.bind(address);
    d->acceptor.listen();
    d->accept();
}

Tcp::endpoint PeerServer::address() const
{
    return d->acceptor.local_endpoint();
}

void PeerServer::stop()
{
    asio::dispatch(d->acceptor.get_executor(), [self = d] { self->stop(); });
}

std::size_t PeerServer::sessionCount() const
{
    return *d->count;
}

} // namespace wisteriafork
