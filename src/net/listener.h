#pragma once

#include "net/asio.h"

#include <functional>
#include <memory>

namespace wisteriafork {

// Accepts TCP connections. Each accepted socket has its own strand.
class Listener : public std::enable_shared_from_this<Listener>
{
public:
    // `onConnection` takes each accepted socket. `onStopped` is called when the listening socket is closed after `stop`, and once more if
    // an accept that was in progress completes after that. Both are called on the strand of the listener.
    struct Callbacks
    {
        std::function<void(Socket)> onConnection;
        std::function<void()> onStopped;
    };

    Listener(asio::io_context &context, Callbacks callbacks);

    // Binds to the address and starts to accept connections. Throws boost::system::system_error if that fails.
    void listen(const Tcp::endpoint &address);
    // Address that the socket is bound to, with the port that the system chose for port 0.
    Tcp::endpoint address() const;
    // Stops without resetting connections that clients see as established: ignores new connection attempts, accepts connections whose
    // handshake is in progress for a short time, then closes the listening socket. May be called from any thread.
    void stop();

private:
    void accept();
    void onAccepted(const ErrorCode &error, Socket socket);
    void close();

    asio::io_context &m_context;
    const Callbacks m_callbacks;
    Acceptor m_acceptor;
    Timer m_retryTimer;
    Timer m_closeTimer;
    bool m_stopping = false;
};

} // namespace wisteriafork
