#include "net/listener.h"

#include "net/listenerstop.h"

namespace wisteriafork {

namespace {

// Delay after a failed accept, for example when no file descriptor is left, so that the loop does not spin.
constexpr std::chrono::milliseconds AcceptRetryDelay{10};
// Time for handshakes to complete that are in progress when the listener stops.
constexpr std::chrono::milliseconds HandshakeTimeout{200};

} // namespace

Listener::Listener(asio::io_context &context, Callbacks callbacks)
    : m_context(context)
    , m_callbacks(std::move(callbacks))
    , m_acceptor(asio::make_strand(context))
    , m_retryTimer(m_acceptor.get_executor())
    , m_closeTimer(m_acceptor.get_executor())
{
}

void Listener::listen(const Tcp::endpoint &address)
{
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(Acceptor::reuse_address(true));
    m_acceptor.bind(address);
    m_acceptor.listen();
    accept();
}

Tcp::endpoint Listener::address() const
{
    return m_acceptor.local_endpoint();
}

void Listener::stop()
{
    asio::dispatch(m_acceptor.get_executor(), [self = shared_from_this()] {
        if (self->m_stopping || !self->m_acceptor.is_open()) {
            return;
        }
        self->m_stopping = true;
        ignoreNewConnections(self->m_acceptor.native_handle());
        self->m_closeTimer.expires_after(HandshakeTimeout);
        self->m_closeTimer.async_wait([self](const ErrorCode &) { self->close(); });
    });
}

void Listener::accept()
{
    m_acceptor.async_accept(asio::make_strand(m_context), [self = shared_from_this()](const ErrorCode &error, Socket socket) {
        self->onAccepted(error, std::move(socket));
    });
}

void Listener::onAccepted(const ErrorCode &error, Socket socket)
{
    if (!error) {
        m_callbacks.onConnection(std::move(socket));
    }
    if (!m_acceptor.is_open()) {
        // The connection was accepted while the listener was closed, after `onStopped` had been called, so it has to be stopped, too.
        m_callbacks.onStopped();
    } else if (!error) {
        accept();
    } else {
        m_retryTimer.expires_after(AcceptRetryDelay);
        m_retryTimer.async_wait([self = shared_from_this()](const ErrorCode &) {
            if (self->m_acceptor.is_open()) {
                self->accept();
            }
        });
    }
}

void Listener::close()
{
    ErrorCode error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        Socket socket(asio::make_strand(m_context));
        m_acceptor.accept(socket, error);
        if (!error) {
            m_callbacks.onConnection(std::move(socket));
        }
    }
    m_acceptor.close(error);
    m_callbacks.onStopped();
}

} // namespace wisteriafork
