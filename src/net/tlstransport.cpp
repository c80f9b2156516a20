#include "net/tlstransport.h"

#include "net/tlscontext.h"

#include <boost/asio/ssl/error.hpp>

namespace wisteriafork {

TlsTransport::TlsTransport(Socket socket, std::shared_ptr<const TlsContext> tls) : m_tls(std::move(tls)), m_pendingSocket(std::move(socket))
{
}

Strand TlsTransport::strand()
{
    return m_stream ? m_stream->next_layer().get_executor() : m_pendingSocket.get_executor();
}

void TlsTransport::connect(const Tcp::endpoint &peer, CompletionHandler handler)
{
    m_stream = std::make_unique<Stream>(std::move(m_pendingSocket), m_tls->clientContext());
    m_stream->next_layer().async_connect(peer, [this, done = std::move(handler)](const ErrorCode &error) {
        if (error) {
            done(error);
        } else {
            handshake(asio::ssl::stream_base::client, done);
        }
    });
}

void TlsTransport::accept(CompletionHandler handler)
{
    m_stream = std::make_unique<Stream>(std::move(m_pendingSocket), m_tls->serverContext());
    handshake(asio::ssl::stream_base::server, std::move(handler));
}

void TlsTransport::handshake(asio::ssl::stream_base::handshake_type type, CompletionHandler handler)
{
    ErrorCode ignored;
    m_stream->next_layer().set_option(Tcp::no_delay(true), ignored);
    m_stream->async_handshake(type, [this, done = std::move(handler)](ErrorCode error) {
        const unsigned char *protocol = nullptr;
        unsigned int size = 0;
        SSL_get0_alpn_selected(m_stream->native_handle(), &protocol, &size);
        if (!error && std::string_view(reinterpret_cast<const char *>(protocol), size) != "h2") {
            error = asio::error::no_protocol_option;
        }
        done(error);
    });
}

void TlsTransport::read(ReadHandler handler)
{
    m_stream->async_read_some(asio::buffer(m_readBuffer), [this, done = std::move(handler)](const ErrorCode &error, std::size_t size) {
        done(error, std::string_view(m_readBuffer.data(), size));
    });
}

void TlsTransport::write(std::string_view bytes, CompletionHandler handler)
{
    asio::async_write(*m_stream, asio::buffer(bytes.data(), bytes.size()),
                      [done = std::move(handler)](const ErrorCode &error, std::size_t) { done(error); });
}

void TlsTransport::close()
{
    ErrorCode ignored;
    if (m_stream) {
        m_stream->next_layer().close(ignored);
    } else {
        m_pendingSocket.close(ignored);
    }
}

std::string TlsTransport::remoteAddress()
{
    ErrorCode error;
    const Tcp::endpoint remote = m_stream ? m_stream->next_layer().remote_endpoint(error) : m_pendingSocket.remote_endpoint(error);
    return error ? std::string() : remote.address().to_string();
}

} // namespace wisteriafork
