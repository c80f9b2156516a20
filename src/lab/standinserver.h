#pragma once

#include "lab/executionrecord.h"
#include "lab/httpclient.h"
#include "lab/httpserver.h"
#include "lab/requestjournal.h"
#include "lab/slots.h"
#include "lab/standinserveroptions.h"

#include <optional>
#include <random>
#include <string>

namespace wisteriafork::lab {

// Stand-in for a backend server in experiments. It has a number of request slots with a queue and a random service time, makes calls to
// other services, refuses requests whose deadline has passed, whose client has disconnected or that are meant for another instance, and
// reports its load with a lag. Control paths start with "/_lab/":
//   GET /_lab/stats       counters
//   GET /_lab/executions  executions of non-idempotent requests by request id
//   GET /_lab/load        running requests and slots, as last sampled
//   POST /_lab/slow/N     multiplies the service time by N
//   POST /_lab/drain      refuses new requests
class StandinServer
{
public:
    StandinServer(asio::io_context &context, StandinServerOptions options);

    // Starts to accept requests; returns at once.
    void start();

private:
    // Counts of requests that GET /_lab/stats returns.
    struct Counters
    {
        std::uint64_t answered = 0;
        std::uint64_t refused = 0;
        std::uint64_t expired = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t childFailures = 0;
        // Requests that were executed although the client disconnected or a child call failed.
        std::uint64_t wasted = 0;
    };

    asio::awaitable<HttpResponse> handleRequest(HttpRequest request, ClientConnection connection);
    // Waits for a slot and executes the request, or refuses it.
    asio::awaitable<HttpResponse> serveRequest(HttpRequest request, ClientConnection connection);
    // Takes the service time and makes the child calls. Call while the request holds a slot.
    asio::awaitable<HttpResponse> executeRequest(HttpRequest request, ClientConnection connection);
    // Makes all child calls in turn. Returns false as soon as one fails.
    asio::awaitable<bool> makeChildCalls(const HttpRequest &request);
    // Makes up to `attemptsPerCall` attempts, each limited by the timeout. Returns whether one succeeded.
    asio::awaitable<bool> makeChildCall(const HttpRequest &parent, const ChildCall &call, std::chrono::milliseconds timeout);
    asio::awaitable<void> sampleLoadPeriodically();
    HttpResponse handleControlRequest(const HttpRequest &request);
    // Returns a response with status 503 that states that the request was not executed.
    HttpResponse makeRefusal(const HttpRequest &request, const char *reason);
    std::string statisticsJson() const;
    // Returns the response to a request that was executed.
    HttpResponse makeSuccess(const HttpRequest &request, const std::string &requestId);
    // Gives the response the framing of the options.
    void applyFraming(HttpResponse &response);
    // Id of the next child call of the request; no other call of any server has it.
    std::string nextChildCallId(std::string_view parentId);
    std::chrono::microseconds drawServiceTime();

    asio::io_context &m_context;
    StandinServerOptions m_options;
    HttpServer m_server;
    HttpClient m_client;
    Slots m_slots;
    std::mt19937_64 m_random;
    // Child calls that carried an attempt id; the count and the start time make these ids unique.
    std::uint64_t m_childCallCount = 0;
    const std::int64_t m_startTime = std::chrono::system_clock::now().time_since_epoch().count();
    ExecutionRecord m_executionRecord;
    RequestJournal m_journal;
    Counters m_counters;
    double m_serviceTimeFactor = 1.0;
    bool m_draining = false;
    // Running requests at the last sample of the load.
    std::size_t m_sampledRunningCount = 0;
};

} // namespace wisteriafork::lab
