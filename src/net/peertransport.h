#pragma once

#include "net/asio.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace wisteriafork {

class TlsContext;

// Byte stream between two nodes over TLS or plain TCP. It must be used on its strand, and calls its handlers there.
class PeerTransport
{
public:
    using CompletionHandler = std::function<void(const ErrorCode &)>;
    // Receives the bytes that were read. The view is valid only during the call; it is empty only with an error.
    using ReadHandler = std::function<void(const ErrorCode &, std::string_view)>;

    virtual ~PeerTransport() = default;

    virtual Strand strand() = 0;
    // Connects and, with TLS, authenticates both sides.
    virtual void connect(const Tcp::endpoint &peer, CompletionHandler handler) = 0;
    // Prepares an accepted connection: with TLS, authenticates both sides.
    virtual void accept(CompletionHandler handler) = 0;
    // Reads the next available bytes.
    virtual void read(ReadHandler handler) = 0;
    // Writes all bytes; they must stay valid until the handler is called.
    virtual void write(std::string_view bytes, CompletionHandler handler) = 0;
    // Closes the connection; operations in progress end with an error.
    virtual void close() = 0;
    // IP address of the other side without port; empty if the transport is not connected.
    virtual std::string remoteAddress() = 0;
};

// Creates a transport over this socket with TLS, or with plain TCP if `tls` is null.
std::unique_ptr<PeerTransport> makePeerTransport(Socket socket, std::shared_ptr<const TlsContext> tls);

} // namespace wisteriafork
