#pragma once

#include "net/peertransport.h"

#include <array>
#include <memory>

#include <boost/asio/ssl/stream.hpp>

namespace wisteriafork {

// Transport over TLS with mutual authentication.
class TlsTransport : public PeerTransport
{
public:
    TlsTransport(Socket socket, std::shared_ptr<const TlsContext> tls);

    Strand strand() override;
    void connect(const Tcp::endpoint &peer, CompletionHandler handler) override;
    void accept(CompletionHandler handler) override;
    void read(ReadHandler handler) override;
    void write(std::string_view bytes, CompletionHandler handler) override;
    void close() override;
    std::string remoteAddress() override;

private:
    using Stream = asio::ssl::stream<Socket>;

    void handshake(asio::ssl::stream_base::handshake_type type, CompletionHandler handler);

    std::shared_ptr<const TlsContext> m_tls;
    // Socket until `connect` or `accept` moves it into the stream.
    Socket m_pendingSocket;
    std::unique_ptr<Stream> m_stream;
    std::array<char, 32'768> m_readBuffer{};
};

} // namespace wisteriafork
