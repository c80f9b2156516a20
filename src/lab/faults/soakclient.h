#pragma once

#include "lab/faults/soakrequest.h"
#include "lab/http.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace wisteriafork::lab {

struct SoakClientOptions
{
    // Prefix of the ids of its requests, unique in the run.
    std::string name;
    // Ports on 127.0.0.1 at which it sends requests.
    std::vector<std::uint16_t> ports;
    // Services that it sends requests to.
    std::vector<std::string> services;
    // Time at which it stops to send.
    std::chrono::steady_clock::time_point endTime;
    // Shares of the requests of which it sends only a part, and on which it gives up early, within `maxPatience`.
    double partialShare = 0.03;
    double abandonShare = 0.05;
    std::chrono::milliseconds maxPatience{300};
    // Upper limit of the time between two requests.
    std::chrono::milliseconds maxThinkTime{60};
    // Bounds of the time for which it waits for a response.
    std::chrono::milliseconds minDeadline{400};
    std::chrono::milliseconds maxDeadline{2000};
    std::uint64_t seed = 1;
};

// Sends one request after another on a kept connection, and records what it gets for each. It never sends a request again.
class SoakClient
{
public:
    SoakClient(boost::asio::io_context &context, SoakClientOptions options);

    // Sends requests until the end time and waits for the last response.
    asio::awaitable<void> run();

    const std::vector<SoakRequest> &requests() const
    {
        return m_requests;
    }

private:
    // Connects to one of the ports unless the kept connection is still open. False if that fails.
    asio::awaitable<bool> connect();
    // Closes the kept connection if the server has ended it, and records bytes that arrived without a request.
    void checkKeptConnection();
    HttpRequest drawRequest(SoakRequest &record);
    asio::awaitable<void> exchange(SoakRequest &record);
    // Sends only the beginning of the request, and closes the connection after a short time.
    asio::awaitable<void> sendPart(const HttpRequest &request);
    asio::awaitable<void> receive(SoakRequest &record, std::chrono::milliseconds patience);
    asio::awaitable<void> sleepFor(std::chrono::milliseconds time);
    bool draw(double share);
    std::size_t drawNumber(std::size_t least, std::size_t most);
    std::chrono::milliseconds drawTime(std::chrono::milliseconds least, std::chrono::milliseconds most);

    asio::io_context &m_context;
    const SoakClientOptions m_options;
    std::mt19937_64 m_random;
    std::unique_ptr<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buffer;
    std::vector<SoakRequest> m_requests;
    std::chrono::milliseconds m_deadline{0};
};

// What is wrong with a complete response to the request; empty if nothing is.
std::string findResponseFault(const SoakRequest &request, const HttpResponse &response);

} // namespace wisteriafork::lab
