#pragma once

#include "net/asio.h"

#include <optional>
#include <string_view>
#include <utility>

namespace wisteriafork {

// Reads what arrives on the socket of a connection. Bytes are read into one buffer per thread, so that idle connections hold none; a view
// of them is valid during the call of the handler only. Used on the strand of the connection.
class SocketInput
{
public:
    // Calls the handler once with the bytes that have arrived, or with an empty view when the connection has ended. Does nothing while a
    // wait is under way. The handler has to keep the owner of this object and the socket alive.
    template <typename Handler>
    void wait(Socket &socket, Handler handler)
    {
        if (m_waiting) {
            return;
        }
        m_waiting = true;
        socket.async_wait(Socket::wait_read, [this, &socket, handler = std::move(handler)](const ErrorCode &error) mutable {
            m_waiting = false;
            if (const std::optional<std::string_view> input = readAvailable(socket, error)) {
                handler(*input);
            } else {
                wait(socket, std::move(handler));
            }
        });
    }

    // True if the last wait ended because the sender closed its half of the connection in order; false after a reset.
    bool endedInOrder() const
    {
        return m_endedInOrder;
    }

private:
    // Nothing if no bytes are there after all.
    std::optional<std::string_view> readAvailable(Socket &socket, const ErrorCode &waitError);

    bool m_waiting = false;
    bool m_endedInOrder = false;
};

} // namespace wisteriafork
