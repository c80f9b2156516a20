#pragma once

#include "net/httpserver.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace wisteriafork {

// Backend server inside a test: answers each request after a random delay with a text made from the request, and counts.
class StandinServer : private ServerHandler
{
public:
    explicit StandinServer(std::chrono::microseconds longestDelay, std::uint64_t seed = 1);
    ~StandinServer() override;

    std::uint16_t port() const
    {
        return m_server.address().port();
    }

    std::uint64_t received() const
    {
        return m_received;
    }

    // Requests whose connection was closed before they were answered.
    std::uint64_t cancelled() const
    {
        return m_cancelled;
    }

    // The body of the answer to a request.
    static std::string answerTo(const HttpRequest &request);

private:
    void handleRequest(std::shared_ptr<ServerExchange> exchange) override;
    void handleGone(ServerExchange &exchange) override;

    asio::io_context m_context;
    HttpServer m_server;
    const std::chrono::microseconds m_longestDelay;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::atomic<std::uint64_t> m_received = 0;
    std::atomic<std::uint64_t> m_cancelled = 0;
    std::thread m_thread;
};

} // namespace wisteriafork
