#pragma once

#include "net/asio.h"

#include <array>
#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace wisteriafork {

// Server that accepts connections and runs a function on a thread for each, with blocking calls. The function defines every byte that is
// sent, so that it can play servers that do not keep to the protocol.
class RawServer
{
public:
    using Conversation = std::function<void(Tcp::socket &socket, unsigned connection)>;

    explicit RawServer(Conversation conversation)
        : m_conversation(std::move(conversation))
        , m_acceptor(m_context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_thread([this] { accept(); })
    {
    }

    // Ends after the conversations; their clients must have closed their connections.
    ~RawServer()
    {
        m_stopping = true;
        ErrorCode error;
        asio::io_context context;
        Tcp::socket wake(context);
        wake.connect(m_acceptor.local_endpoint(), error);
        m_thread.join();
        for (std::thread &thread : m_conversations) {
            thread.join();
        }
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    Tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

    // Reads a request header up to and including the empty line.
    static std::string readHeader(Tcp::socket &socket)
    {
        std::string text;
        ErrorCode error;
        std::array<char, 1> byte{};
        while (!error && !text.ends_with("\r\n\r\n")) {
            text.append(byte.data(), socket.read_some(asio::buffer(byte), error));
        }
        return text;
    }

    // Reads this many bytes, or fewer if the connection ends.
    static std::string readBytes(Tcp::socket &socket, std::size_t count)
    {
        std::string text(count, '\0');
        ErrorCode error;
        text.resize(asio::read(socket, asio::buffer(text), error));
        return text;
    }

    // False if the connection has ended.
    static bool send(Tcp::socket &socket, std::string_view bytes)
    {
        ErrorCode error;
        asio::write(socket, asio::buffer(bytes.data(), bytes.size()), error);
        return !error;
    }

private:
    void accept()
    {
        for (unsigned number = 0;; ++number) {
            ErrorCode error;
            Tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (m_stopping || error) {
                return;
            }
            m_conversations.emplace_back([this, number, accepted = std::move(socket)]() mutable { m_conversation(accepted, number); });
        }
    }

    const Conversation m_conversation;
    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_conversations;
    std::thread m_thread;
};

} // namespace wisteriafork
