#pragma once

#include "net/peertransport.h"

#include <array>
#include <memory>

#include <boost/asio/ssl/stream.hpp>

namespace wisteriafork {

// TLS with mutual authentication.
class TlsTransport : public PeerTransport
{
public:
    TlsTransport(Socket socket, std::shared_ptr<const TlsContext> tls);

    Strand strand() override;
    void connect(const Tcp::endpoint &peer, DoneHandler handler) override;
    void accept(DoneHandler handler) override;
    void read(ReadHandler handler) override;
    void write(std::string_view bytes, DoneHandler handler) override;
    void close() override;
    std::string remoteAddress() override;

private:
    using Stream = asio::ssl::stream<Socket>;

    void handshake(asio::ssl::stream_base::handshake_type type, DoneHandler handler);

    std::shared_ptr<const TlsContext> m_tls;
    Socket m_pendingSocket;
    std::unique_ptr<Stream> m_stream;
    std::array<char, 32'768> m_readBuffer{};
};

} // namespace wisteriafork
