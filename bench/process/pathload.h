#pragma once

#include "net/httpclient.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace wisteriafork {

// Sends requests at a rate, in an open loop, over one of two paths and collects the times to the answers. Used on one thread.
class PathLoad
{
public:
    PathLoad(asio::io_context &context, std::uint16_t port, std::size_t connections);

    // Sends one request.
    void send();
    // Keeps this number of requests in flight until `stop`.
    void startClosedLoop(std::size_t inFlight);
    void stop();
    // Forgets what was collected.
    void clear();

    std::uint64_t answered() const
    {
        return m_times.size();
    }

    std::uint64_t refused() const
    {
        return m_refused;
    }

    std::uint64_t inFlight() const
    {
        return m_inFlight;
    }

    // Time below which this share of the answers came; empty collections give zero.
    std::chrono::nanoseconds percentile(double share);

private:
    HttpClient m_client;
    std::vector<std::chrono::nanoseconds> m_times;
    std::uint64_t m_refused = 0;
    std::uint64_t m_inFlight = 0;
    std::uint64_t m_number = 0;
    bool m_closedLoop = false;
};

} // namespace wisteriafork
