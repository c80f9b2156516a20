#pragma once

#include "lab/asio.h"
#include "lab/faults/linkfaults.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>

namespace wisteriafork::lab {

// Loopback proxy that passes bytes between clients and a server and injects faults from outside of both. The chances are drawn from a seed.
class FaultLink
{
public:
    enum class Direction : std::uint8_t {
        // From the client to the server.
        Requests,
        // From the server to the client.
        Responses,
    };

    FaultLink(boost::asio::io_context &context, std::uint16_t port, std::uint16_t serverPort, std::uint64_t seed);

    // Starts to accept connections; returns at once.
    void start();
    // Sets the faults of all data that passes from now on.
    void setFaults(const LinkFaults &faults);
    // Holds back the data of one direction for a time, as a partition of that direction does.
    void hold(Direction direction, std::chrono::milliseconds time);

private:
    struct Connection;
    // How a connection goes on after a piece of data was cut off.
    enum class CutEnd : std::uint8_t {
        Close,
        Reset,
        Silence,
    };

    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> connect(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> pump(std::shared_ptr<Connection> connection, Direction direction);
    // Passes on one piece of data with its faults. False if the connection has ended.
    boost::asio::awaitable<bool> passOn(const std::shared_ptr<Connection> &connection, Direction direction, std::string piece);
    // Passes on the beginning of a piece only.
    boost::asio::awaitable<bool> cut(const std::shared_ptr<Connection> &connection, Direction direction, const std::string &piece);
    // Draws what arrives before the response to the next request: nothing, the previous response or its beginning.
    std::string drawInsertion(const std::string &previousResponse);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds time);
    bool draw(double share);
    std::size_t drawNumber(std::size_t most);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    const boost::asio::ip::tcp::endpoint m_server;
    std::mt19937_64 m_random;
    LinkFaults m_faults;
    std::array<std::chrono::steady_clock::time_point, 2> m_heldUntil{};
};

} // namespace wisteriafork::lab
