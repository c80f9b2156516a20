#pragma once

#include "net/asio.h"
#include "net/listener.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace wisteriafork {

// Listener of a server together with the connections that it accepted and that are still open. Created by `create`, because the listener
// refers to it weakly.
template <typename Connection>
class ConnectionAcceptor : public std::enable_shared_from_this<ConnectionAcceptor<Connection>>
{
public:
    struct Callbacks
    {
        // Makes a connection of a socket and starts it; null if the server takes no further ones.
        std::function<std::shared_ptr<Connection>(Socket)> accept;
        // Asks a connection to end. Called for each open one when the listener has stopped.
        std::function<void(Connection &)> stop;
    };

    static std::shared_ptr<ConnectionAcceptor> create(asio::io_context &context, Callbacks callbacks)
    {
        std::shared_ptr<ConnectionAcceptor> acceptor(new ConnectionAcceptor(std::move(callbacks)));
        const std::weak_ptr<ConnectionAcceptor> weak = acceptor;
        const auto accepted = [weak](Socket socket) {
            if (const auto self = weak.lock()) {
                self->adopt(std::move(socket));
            }
        };
        const auto stopped = [weak] {
            if (const auto self = weak.lock()) {
                self->stopConnections();
            }
        };
        acceptor->m_listener = std::make_shared<Listener>(context, Listener::Callbacks{.accepted = accepted, .stopped = stopped});
        return acceptor;
    }

    Listener &listener() const
    {
        return *m_listener;
    }

private:
    explicit ConnectionAcceptor(Callbacks callbacks) : m_callbacks(std::move(callbacks))
    {
    }

    void adopt(Socket socket)
    {
        const std::shared_ptr<Connection> connection = m_callbacks.accept(std::move(socket));
        if (!connection) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        if (m_connections.size() >= m_pruneAt) {
            std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
            m_pruneAt = 2 * m_connections.size() + LeastPruned;
        }
        m_connections.push_back(connection);
    }

    void stopConnections()
    {
        std::vector<std::weak_ptr<Connection>> open;
        {
            const std::lock_guard lock(m_mutex);
            open.swap(m_connections);
        }
        for (const auto &weak : open) {
            if (const auto connection = weak.lock()) {
                m_callbacks.stop(*connection);
            }
        }
    }

    // Closed connections are dropped from the list when it has doubled, so that the cost of each connection stays constant.
    static constexpr std::size_t LeastPruned = 16;

    const Callbacks m_callbacks;
    std::shared_ptr<Listener> m_listener;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::size_t m_pruneAt = LeastPruned;
};

} // namespace wisteriafork
