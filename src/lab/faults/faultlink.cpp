#include "lab/faults/faultlink.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace wisteriafork::lab {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t BufferBytes = std::size_t{16} * 1024;
// Part of a response that is kept to be repeated.
constexpr std::size_t MaxRepeatedBytes = std::size_t{64} * 1024;
// Interval at which a held piece of data checks whether it may pass.
constexpr std::chrono::milliseconds HoldCheckInterval{10};
// Time between an inserted response and the real one, if they do not arrive together.
constexpr std::chrono::milliseconds InsertionGap{5};

void reset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

// True if the piece contains a response header that gives no end of the body, and the cut is behind it. Closing the connection there would
// be a regular end of the response.
bool endsWithConnection(std::string_view piece, std::size_t cutAt)
{
    const std::size_t headerEnd = piece.find("\r\n\r\n");
    const std::string_view header = piece.substr(0, headerEnd);
    const bool isDelimited = header.find("Content-Length") != std::string_view::npos || header.find("chunked") != std::string_view::npos;
    return !isDelimited && (headerEnd == std::string_view::npos || cutAt >= headerEnd);
}

} // namespace

struct FaultLink::Connection
{
    explicit Connection(tcp::socket accepted) : client(std::move(accepted)), server(client.get_executor())
    {
    }

    void resetBoth()
    {
        reset(client);
        reset(server);
    }

    tcp::socket &source(Direction direction)
    {
        return direction == Direction::Requests ? client : server;
    }

    tcp::socket &destination(Direction direction)
    {
        return direction == Direction::Requests ? server : client;
    }

    tcp::socket client;
    tcp::socket server;
    // Directions whose data is lost, by their number.
    std::array<bool, 2> silent{};
    // Bytes that the server sent since the last request.
    std::string response;
    // What arrives before the next bytes of the server.
    std::string insertion;
};

FaultLink::FaultLink(asio::io_context &context, std::uint16_t port, std::uint16_t serverPort, std::uint64_t seed)
    : m_context(context)
    , m_acceptor(context, {asio::ip::address_v4::loopback(), port})
    , m_server(asio::ip::address_v4::loopback(), serverPort)
    , m_random(seed)
{
}

void FaultLink::start()
{
    asio::co_spawn(m_context, acceptConnections(), asio::detached);
}

void FaultLink::setFaults(const LinkFaults &faults)
{
    m_faults = faults;
}

void FaultLink::hold(Direction direction, std::chrono::milliseconds time)
{
    m_heldUntil[static_cast<std::size_t>(direction)] = std::chrono::steady_clock::now() + time;
}

asio::awaitable<void> FaultLink::acceptConnections()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        asio::co_spawn(m_context, connect(std::make_shared<Connection>(std::move(socket))), asio::detached);
    }
}

asio::awaitable<void> FaultLink::connect(std::shared_ptr<Connection> connection)
{
    boost::system::error_code error;
    co_await connection->server.async_connect(m_server, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        connection->resetBoth();
        co_return;
    }
    connection->client.set_option(tcp::no_delay(true), error);
    connection->server.set_option(tcp::no_delay(true), error);
    asio::co_spawn(m_context, pump(connection, Direction::Requests), asio::detached);
    asio::co_spawn(m_context, pump(connection, Direction::Responses), asio::detached);
}

asio::awaitable<void> FaultLink::pump(std::shared_ptr<Connection> connection, Direction direction)
{
    std::string buffer(BufferBytes, '\0');
    for (;;) {
        boost::system::error_code error;
        const std::size_t size = co_await connection->source(direction).async_read_some(asio::buffer(buffer),
                                                                                        asio::redirect_error(asio::use_awaitable, error));
        const bool isSilent = connection->silent[static_cast<std::size_t>(direction)];
        if (error) {
            boost::system::error_code ignored;
            if (isSilent) {
                // The end of the connection is lost like its data.
            } else if (error == asio::error::eof) {
                connection->destination(direction).shutdown(tcp::socket::shutdown_send, ignored);
            } else {
                connection->resetBoth();
            }
            co_return;
        }
        if (!isSilent && !co_await passOn(connection, direction, buffer.substr(0, size))) {
            co_return;
        }
    }
}

asio::awaitable<bool> FaultLink::passOn(const std::shared_ptr<Connection> &connection, Direction direction, std::string piece)
{
    while (std::chrono::steady_clock::now() < m_heldUntil[static_cast<std::size_t>(direction)]) {
        co_await sleepFor(HoldCheckInterval);
    }
    if (draw(m_faults.delayShare)) {
        co_await sleepFor(std::chrono::milliseconds(drawNumber(static_cast<std::size_t>(m_faults.maxDelay.count()))));
    }
    if (draw(m_faults.silenceShare)) {
        connection->silent[static_cast<std::size_t>(direction)] = true;
        connection->silent[drawNumber(1)] = true;
        co_return true;
    }
    if (draw(m_faults.resetShare)) {
        connection->resetBoth();
        co_return false;
    }
    if (direction == Direction::Requests) {
        connection->insertion = drawInsertion(std::exchange(connection->response, {}));
    } else {
        if (connection->response.size() < MaxRepeatedBytes) {
            connection->response += piece;
        }
        std::string insertion = std::exchange(connection->insertion, {});
        if (!insertion.empty() && draw(0.5)) {
            boost::system::error_code ignored;
            co_await asio::async_write(connection->client, asio::buffer(insertion), asio::redirect_error(asio::use_awaitable, ignored));
            co_await sleepFor(InsertionGap);
        } else {
            piece.insert(0, insertion);
        }
    }
    if (draw(m_faults.cutShare)) {
        co_return co_await cut(connection, direction, piece);
    }
    boost::system::error_code error;
    co_await asio::async_write(connection->destination(direction), asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        connection->resetBoth();
    }
    co_return !error;
}

asio::awaitable<bool> FaultLink::cut(const std::shared_ptr<Connection> &connection, Direction direction, const std::string &piece)
{
    // Half of the cuts are within the first bytes, where the header is.
    constexpr std::size_t HeaderBytes = 300;
    const std::size_t cutAt = drawNumber(std::min(piece.size() - 1, draw(0.5) ? HeaderBytes : piece.size()));
    auto end = static_cast<CutEnd>(drawNumber(2));
    if (end == CutEnd::Close && direction == Direction::Responses && endsWithConnection(piece, cutAt)) {
        end = CutEnd::Reset;
    }
    boost::system::error_code error;
    co_await asio::async_write(connection->destination(direction), asio::buffer(piece.data(), cutAt),
                               asio::redirect_error(asio::use_awaitable, error));
    if (end == CutEnd::Silence) {
        connection->silent = {true, true};
        co_return true;
    }
    if (end == CutEnd::Close) {
        connection->client.close(error);
        connection->server.close(error);
    } else {
        connection->resetBoth();
    }
    co_return false;
}

std::string FaultLink::drawInsertion(const std::string &previousResponse)
{
    if (previousResponse.empty()) {
        return {};
    }
    if (draw(m_faults.repeatShare)) {
        return previousResponse;
    }
    return draw(m_faults.fragmentShare) ? previousResponse.substr(0, drawNumber(previousResponse.size() - 1)) : std::string();
}

asio::awaitable<void> FaultLink::sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

bool FaultLink::draw(double share)
{
    return share > 0.0 && std::bernoulli_distribution(share)(m_random);
}

std::size_t FaultLink::drawNumber(std::size_t most)
{
    return std::uniform_int_distribution<std::size_t>(0, most)(m_random);
}

} // namespace wisteriafork::lab
