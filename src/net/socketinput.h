#pragma once

#include "net/asio.h"

#include <optional>
#include <string_view>
#include <utility>

namespace wisteriafork {

// Reads from the socket of a connection. Bytes are read into one buffer per thread, so that idle connections need no buffer; a view of them
// is valid only during the call of the handler. Used on the strand of the connection.
class SocketInput
{
public:
    // Calls the handler once with the next received bytes, or with an empty view when the connection has ended. Does nothing while a read
    // is pending. The handler has to keep the owner of this object and the socket alive.
    template <typename Handler>
    void asyncReadSome(Socket &socket, Handler handler)
    {
        if (m_readPending) {
            return;
        }
        m_readPending = true;
        socket.async_wait(Socket::wait_read, [this, &socket, handler = std::move(handler)](const ErrorCode &error) mutable {
            m_readPending = false;
            if (const std::optional<std::string_view> input = readAvailable(socket, error)) {
                handler(*input);
            } else {
                asyncReadSome(socket, std::move(handler));
            }
        });
    }

    // True if the last read ended because the sender shut down its side of the connection; false after a reset.
    bool isAtEof() const
    {
        return m_atEof;
    }

private:
    // Received bytes, or an empty view if the connection has ended; nothing if no bytes were available.
    std::optional<std::string_view> readAvailable(Socket &socket, const ErrorCode &waitError);

    bool m_readPending = false;
    bool m_atEof = false;
};

} // namespace wisteriafork
