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

// Listener of a server together with the accepted connections that are still open. `create` makes the instances, because the callbacks of
// the listener hold a weak pointer to them.
template <typename Connection>
class ConnectionAcceptor : public std::enable_shared_from_this<ConnectionAcceptor<Connection>>
{
public:
    struct Callbacks
    {
        // Creates a connection for an accepted socket and starts it; null if the server has reached its limit of connections.
        std::function<std::shared_ptr<Connection>(Socket)> createConnection;
        // Starts the graceful shutdown of a connection. Called for each open connection when the listener has stopped.
        std::function<void(Connection &)> stopConnection;
    };

    // The listener is not started; call `listener().listen()`.
    static std::shared_ptr<ConnectionAcceptor> create(asio::io_context &context, Callbacks callbacks)
    {
        std::shared_ptr<ConnectionAcceptor> acceptor(new ConnectionAcceptor(std::move(callbacks)));
        const std::weak_ptr<ConnectionAcceptor> weak = acceptor;
        const auto onConnection = [weak](Socket socket) {
            if (const auto self = weak.lock()) {
                self->addConnection(std::move(socket));
            }
        };
        const auto onStopped = [weak] {
            if (const auto self = weak.lock()) {
                self->forEachConnection(self->m_callbacks.stopConnection);
            }
        };
        acceptor->m_listener
            = std::make_shared<Listener>(context, Listener::Callbacks{.onConnection = onConnection, .onStopped = onStopped});
        return acceptor;
    }

    Listener &listener() const
    {
        return *m_listener;
    }

    // Calls the action for each open connection.
    void forEachConnection(const std::function<void(Connection &)> &action)
    {
        std::vector<std::weak_ptr<Connection>> open;
        {
            const std::lock_guard lock(m_mutex);
            open = m_connections;
        }
        for (const auto &weak : open) {
            if (const auto connection = weak.lock()) {
                action(*connection);
            }
        }
    }

private:
    explicit ConnectionAcceptor(Callbacks callbacks) : m_callbacks(std::move(callbacks))
    {
    }

    void addConnection(Socket socket)
    {
        const std::shared_ptr<Connection> connection = m_callbacks.createConnection(std::move(socket));
        if (!connection) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        if (m_connections.size() >= m_pruneThreshold) {
            std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
            m_pruneThreshold = 2 * m_connections.size() + MinPruneThreshold;
        }
        m_connections.push_back(connection);
    }

    // Size of the list at which closed connections are removed for the first time. The next threshold is twice the number of remaining
    // connections plus this number, so the amortized cost per connection is constant.
    static constexpr std::size_t MinPruneThreshold = 16;

    const Callbacks m_callbacks;
    std::shared_ptr<Listener> m_listener;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::size_t m_pruneThreshold = MinPruneThreshold;
};

} // namespace wisteriafork
