#pragma once

#include "net/asio.h"

#include <functional>
#include <memory>

namespace wisteriafork {

// Accepts TCP connections, each with a strand of its own.
class Listener : public std::enable_shared_from_this<Listener>
{
public:
    // `accepted` takes each connection; `stopped` is called when `stop` is complete, and again after a connection that was accepted last.
    // Both are called on the strand of the listener.
    struct Callbacks
    {
        std::function<void(Socket)> accepted;
        std::function<void()> stopped;
    };

    Listener(asio::io_context &context, Callbacks callbacks);

    // Binds to the address and starts to accept. Throws boost::system::system_error if that fails.
    void listen(const Tcp::endpoint &address);
    Tcp::endpoint address() const;
    // Stops without resetting connections that callers see as open: ignores new attempts, accepts for a short time what has begun, then
    // closes. Any thread.
    void stop();

private:
    void accept();
    void onAccepted(const ErrorCode &error, Socket socket);
    void close();

    asio::io_context &m_context;
    const Callbacks m_callbacks;
    Acceptor m_acceptor;
    Timer m_pause;
    Timer m_stopTimer;
    bool m_stopping = false;
};

} // namespace wisteriafork
