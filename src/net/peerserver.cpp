#include "net/peerserver.h"

#include "net/listener.h"
#include "net/peerserversession.h"

#include <atomic>
#include <mutex>
#include <vector>

namespace wisteriafork {

class PeerServer::Private : public std::enable_shared_from_this<PeerServer::Private>
{
public:
    Private(ServerHandler &serverHandler, const PeerOptions &peerOptions)
        : handler(serverHandler), options(peerOptions), count(std::make_shared<std::atomic<std::size_t>>(0))
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
                                                                              self->stopSessions();
                                                                          }
                                                                      }});
    }

    void adopt(Socket socket)
    {
        if (*count >= options.limits.connections) {
            return;
        }
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

    void stopSessions()
    {
        std::vector<std::weak_ptr<PeerServerSession>> open;
        {
            const std::lock_guard lock(mutex);
            open.swap(sessions);
        }
        for (const auto &weak : open) {
            if (const auto session = weak.lock()) {
                session->shutDown();
            }
        }
    }

    ServerHandler &handler;
    const PeerOptions options;
    std::shared_ptr<Listener> listener;
    const std::shared_ptr<std::atomic<std::size_t>> count;
    std::mutex mutex;
    std::vector<std::weak_ptr<PeerServerSession>> sessions;
};

PeerServer::PeerServer(asio::io_context &context, ServerHandler &handler, const PeerOptions &options)
    : d(std::make_shared<Private>(handler, options))
{
    d->createListener(context);
}

PeerServer::~PeerServer()
{
    stop();
}

void PeerServer::listen(const Tcp::endpoint &address)
{
    d->listener->listen(address);
}

Tcp::endpoint PeerServer::address() const
{
    return d->listener->address();
}

void PeerServer::stop()
{
    d->listener->stop();
}

std::size_t PeerServer::sessionCount() const
{
    return *d->count;
}

} // namespace wisteriafork
