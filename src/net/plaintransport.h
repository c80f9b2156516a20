#pragma once

#include "net/peertransport.h"

namespace wisteriafork {

// Transport over plain TCP without authentication, for deployments whose settings explicitly disable TLS.
class PlainTransport : public PeerTransport
{
public:
    explicit PlainTransport(Socket socket);

    Strand strand() override;
    void connect(const Tcp::endpoint &peer, CompletionHandler handler) override;
    void accept(CompletionHandler handler) override;
    void read(ReadHandler handler) override;
    void write(std::string_view bytes, CompletionHandler handler) override;
    void close() override;
    std::string remoteAddress() override;

private:
    void setSocketOptions();

    Socket m_socket;
};

} // namespace wisteriafork
