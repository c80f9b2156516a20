#pragma once

#include "net/httpclient.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

namespace wisteriafork {

// What became of the requests of a load client.
struct LoadCounts
{
    // Whole answers that belong to their request.
    std::uint64_t matching = 0;
    // Whole answers that belong to another request or to none.
    std::uint64_t mismatching = 0;
    // Other refusals and error answers.
    std::uint64_t otherErrors = 0;
    // Nothing of the request was sent.
    std::uint64_t notSent = 0;
    // The connection broke without a whole answer.
    std::uint64_t broken = 0;
    // Requests that were refused as not run after `stopSending`. Earlier ones are sent again.
    std::uint64_t refusedAtEnd = 0;

    std::uint64_t total() const
    {
        return matching + mismatching + otherErrors + notSent + broken + refusedAtEnd;
    }
};

// Sends distinct requests with a fixed number in flight and checks each answer against its request.
class LoadClient
{
public:
    LoadClient(std::uint16_t port, std::size_t inFlight, std::uint64_t seed = 7);
    ~LoadClient();

    // Sends this many requests and waits for their outcomes, at most for the bound.
    LoadCounts run(std::uint64_t requests, std::chrono::seconds bound);
    // Ends `run` early: no further requests are sent, those in flight are waited for.
    void stopSending();
    std::uint64_t finished() const;

private:
    void sendNext();
    void send(const std::shared_ptr<const HttpRequest> &request);
    void sendAgain(std::shared_ptr<const HttpRequest> request);
    void answered(const std::shared_ptr<const HttpRequest> &request, const tl::expected<HttpResponse, ExchangeError> &result);

    asio::io_context m_context;
    HttpClient m_client;
    const std::size_t m_inFlight;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::mt19937_64 m_random;
    LoadCounts m_counts;
    std::uint64_t m_requests = 0;
    std::uint64_t m_sent = 0;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace wisteriafork
