#pragma once

#include "net/asio.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace wisteriafork {

class TlsContext;

// Byte stream between two nodes, over TLS or plain TCP. Used on its strand; handlers are called there.
class PeerTransport
{
public:
    using DoneHandler = std::function<void(const ErrorCode &)>;
    // The view is valid only during the call. An empty view without error does not occur.
    using ReadHandler = std::function<void(const ErrorCode &, std::string_view)>;

    virtual ~PeerTransport() = default;

    virtual Strand strand() = 0;
    // Connects and, with TLS, authenticates both sides.
    virtual void connect(const Tcp::endpoint &peer, DoneHandler handler) = 0;
    // With TLS, authenticates both sides of an accepted connection.
    virtual void accept(DoneHandler handler) = 0;
    virtual void read(ReadHandler handler) = 0;
    // Writes all bytes; they must stay valid until the handler is called.
    virtual void write(std::string_view bytes, DoneHandler handler) = 0;
    // Ends all operations.
    virtual void close() = 0;
    // IP address of the other side; empty if it is not connected.
    virtual std::string remoteAddress() = 0;
};

// A transport over this socket; plain TCP if `tls` is null.
std::unique_ptr<PeerTransport> makePeerTransport(Socket socket, std::shared_ptr<const TlsContext> tls);

} // namespace wisteriafork
