#include "net/plaintransport.h"

#include <array>

namespace wisteriafork {

namespace {

constexpr std::size_t ReadBufferBytes = std::size_t{256} * 1024;
// One buffer per thread, so that idle sessions need no buffer.
thread_local std::array<char, ReadBufferBytes> readBuffer;

} // namespace

PlainTransport::PlainTransport(Socket socket) : m_socket(std::move(socket))
{
}

Strand PlainTransport::strand()
{
    return m_socket.get_executor();
}

void PlainTransport::setSocketOptions()
{
    ErrorCode ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
}

void PlainTransport::connect(const Tcp::endpoint &peer, CompletionHandler handler)
{
    m_socket.async_connect(peer, [this, done = std::move(handler)](const ErrorCode &error) {
        if (!error) {
            setSocketOptions();
        }
        done(error);
    });
}

void PlainTransport::accept(CompletionHandler handler)
{
    setSocketOptions();
    handler({});
}

void PlainTransport::read(ReadHandler handler)
{
    m_socket.async_wait(Socket::wait_read, [this, done = std::move(handler)](const ErrorCode &waitError) {
        if (waitError) {
            done(waitError, {});
            return;
        }
        ErrorCode error;
        const std::size_t size = m_socket.read_some(asio::buffer(readBuffer), error);
        if (error == asio::error::would_block) {
            read(done);
            return;
        }
        done(error, std::string_view(readBuffer.data(), error ? 0 : size));
    });
}

void PlainTransport::write(std::string_view bytes, CompletionHandler handler)
{
    asio::async_write(m_socket, asio::buffer(bytes.data(), bytes.size()),
                      [done = std::move(handler)](const ErrorCode &error, std::size_t) { done(error); });
}

void PlainTransport::close()
{
    ErrorCode ignored;
    m_socket.close(ignored);
}

std::string PlainTransport::remoteAddress()
{
    ErrorCode error;
    const Tcp::endpoint remote = m_socket.remote_endpoint(error);
    return error ? std::string() : remote.address().to_string();
}

} // namespace wisteriafork
