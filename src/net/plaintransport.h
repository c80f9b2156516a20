#pragma once

#include "net/peertransport.h"

namespace wisteriafork {

// Plain TCP, for set-ups whose settings say so explicitly.
class PlainTransport : public PeerTransport
{
public:
    explicit PlainTransport(Socket socket);

    Strand strand() override;
    void connect(const Tcp::endpoint &peer, DoneHandler handler) override;
    void accept(DoneHandler handler) override;
    void read(ReadHandler handler) override;
    void write(std::string_view bytes, DoneHandler handler) override;
    void close() override;
    std::string remoteAddress() override;

private:
    void prepare();

    Socket m_socket;
};

} // namespace wisteriafork
