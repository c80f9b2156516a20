#include "net/socketinput.h"

#include <array>

namespace wisteriafork {

namespace {

constexpr std::size_t ReadBufferBytes = std::size_t{64} * 1024;
thread_local std::array<char, ReadBufferBytes> readBuffer;

} // namespace

std::optional<std::string_view> SocketInput::readAvailable(Socket &socket, const ErrorCode &waitError)
{
    ErrorCode error = waitError;
    const std::size_t size = error ? 0 : socket.read_some(asio::buffer(readBuffer), error);
    if (error == asio::error::would_block) {
        return std::nullopt;
    }
    m_atEof = error == asio::error::eof;
    return error ? std::string_view() : std::string_view(readBuffer.data(), size);
}

} // namespace wisteriafork
