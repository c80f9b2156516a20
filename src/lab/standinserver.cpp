#include "lab/standinserver.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>

namespace wisteriafork::lab {

namespace {

// Time between samples of the load. The load endpoint returns the last one, so its readings lag like those of real servers.
constexpr std::chrono::milliseconds LoadSampleInterval(1000);

// Id of a caller's request. It stays the same when the request is resent and in the calls that are made for it.
constexpr const char *RequestIdHeader = "X-Lab-Request";
// A request with this header terminates the stand-in server that receives it.
constexpr const char *CrashHeader = "X-Lab-Crash";

// Header fields that a stand-in server copies from a request to the calls that it makes for it.
constexpr const char *PropagatedHeaders[] = {RequestIdHeader, "traceparent", "Wf-Deadline-Ms", "Wf-Workspace"};
// Id of one attempt of a request. The id of a child call is that of the request that it is made for, a dot and a number.
constexpr const char *SendIdHeader = "Wf-Request-Id";
// Name of the instance that a request is meant for.
constexpr const char *ExpectedInstanceHeader = "Wf-Expected-Instance";

// Time until the deadline that the request states, or `fallback` if it states none.
std::chrono::milliseconds remainingTime(const HttpRequest &request, std::chrono::milliseconds fallback)
{
    const beast::string_view text = request["Wf-Deadline-Ms"];
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc()) {
        return fallback;
    }
    return std::chrono::milliseconds(value);
}

} // namespace

StandinServer::StandinServer(asio::io_context &context, StandinServerOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_server(context, m_options.port,
               [this](HttpRequest request, ClientConnection connection) { return handleRequest(std::move(request), connection); })
    , m_client(context)
    , m_slots(context, m_options.slots, m_options.maxQueueLength)
    , m_random(m_options.seed)
    , m_executionRecord(m_options.recordFile)
    , m_journal(m_options.journalFile)
{
}

void StandinServer::start()
{
    m_server.start();
    asio::co_spawn(m_context, sampleLoadPeriodically(), asio::detached);
}

asio::awaitable<void> StandinServer::sampleLoadPeriodically()
{
    asio::steady_timer timer(m_context);
    for (;;) {
        m_sampledRunningCount = m_slots.runningCount();
        timer.expires_after(LoadSampleInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<HttpResponse> StandinServer::handleRequest(HttpRequest request, ClientConnection connection)
{
    if (request.target().starts_with("/_lab/")) {
        co_return handleControlRequest(request);
    }
    const std::string sendId(request[SendIdHeader]);
    HttpResponse response = co_await serveRequest(std::move(request), connection);
    response.set(SendIdHeader, sendId);
    applyFraming(response);
    co_return response;
}

asio::awaitable<HttpResponse> StandinServer::serveRequest(HttpRequest request, ClientConnection connection)
{
    if (!request[CrashHeader].empty()) {
        std::_Exit(3);
    }
    const beast::string_view expectedInstance = request[ExpectedInstanceHeader];
    if (!expectedInstance.empty() && expectedInstance != m_options.name) {
        ++m_counters.refused;
        co_return makeResponse(request, http::status::misdirected_request, R"({"error":"this is another instance"})");
    }
    const auto arrivalTime = std::chrono::steady_clock::now();
    const std::chrono::milliseconds remaining = remainingTime(request, std::chrono::hours(1));
    if (m_draining || !co_await m_slots.acquire()) {
        ++m_counters.refused;
        co_return makeRefusal(request, "no slot is free");
    }
    if (std::chrono::steady_clock::now() - arrivalTime > remaining) {
        m_slots.release();
        ++m_counters.expired;
        co_return makeRefusal(request, "the deadline has passed");
    }
    if (connection.isClientDisconnected()) {
        m_slots.release();
        ++m_counters.cancelled;
        co_return makeRefusal(request, "the client has gone");
    }
    HttpResponse response = co_await executeRequest(std::move(request), connection);
    m_slots.release();
    co_return response;
}

asio::awaitable<HttpResponse> StandinServer::executeRequest(HttpRequest request, ClientConnection connection)
{
    const std::string requestId(request[RequestIdHeader]);
    if (request.method() == http::verb::post) {
        m_executionRecord.recordExecution(requestId);
    }
    m_journal.recordRun(std::string(request[SendIdHeader]), request);
    asio::steady_timer timer(m_context, drawServiceTime());
    co_await timer.async_wait(asio::use_awaitable);
    if (!co_await makeChildCalls(request)) {
        ++m_counters.childFailures;
        ++m_counters.wasted;
        co_return makeResponse(request, http::status::bad_gateway, R"({"error":"a call to another service failed"})");
    }
    if (connection.isClientDisconnected()) {
        ++m_counters.wasted;
    }
    ++m_counters.answered;
    co_return makeSuccess(request, requestId);
}

HttpResponse StandinServer::makeSuccess(const HttpRequest &request, const std::string &requestId)
{
    nlohmann::json body{{"instance", m_options.name}, {"request", requestId}, {"target", std::string(request.target())}};
    if (m_options.maxPaddingBytes > 0) {
        body["padding"] = std::string(std::uniform_int_distribution<std::size_t>(0, m_options.maxPaddingBytes)(m_random), 'p');
    }
    return makeResponse(request, http::status::ok, body.dump());
}

void StandinServer::applyFraming(HttpResponse &response)
{
    ResponseFraming framing = m_options.framing;
    if (framing == ResponseFraming::Mixed) {
        framing = static_cast<ResponseFraming>(std::uniform_int_distribution<int>(0, 2)(m_random));
    }
    if (framing == ResponseFraming::Chunked) {
        response.chunked(true);
    } else if (framing == ResponseFraming::Close) {
        response.erase(http::field::content_length);
        response.keep_alive(false);
    }
}

std::string StandinServer::nextChildCallId(std::string_view parentId)
{
    return std::string(parentId) + "." + m_options.name + "-" + std::to_string(m_startTime) + "-" + std::to_string(++m_childCallCount);
}

asio::awaitable<bool> StandinServer::makeChildCalls(const HttpRequest &request)
{
    const auto startTime = std::chrono::steady_clock::now();
    const std::chrono::milliseconds remaining = remainingTime(request, m_options.callTimeout);
    for (const ChildCall &call : m_options.childCalls) {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startTime);
        if (!co_await makeChildCall(request, call, std::min(remaining - elapsed, m_options.callTimeout))) {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<bool> StandinServer::makeChildCall(const HttpRequest &parent, const ChildCall &call, std::chrono::milliseconds timeout)
{
    if (timeout.count() <= 0 || m_options.targets.empty()) {
        co_return false;
    }
    std::size_t target = std::uniform_int_distribution<std::size_t>(0, m_options.targets.size() - 1)(m_random);
    for (unsigned attempt = 0; attempt < m_options.attemptsPerCall; ++attempt, ++target) {
        HttpRequest request(http::string_to_verb(call.method), call.path, 11);
        request.set(http::field::host, "localhost");
        for (const char *header : PropagatedHeaders) {
            if (!parent[header].empty()) {
                request.set(header, parent[header]);
            }
        }
        request.set("Wf-Deadline-Ms", std::to_string(timeout.count()));
        std::string callId;
        if (!parent[SendIdHeader].empty()) {
            callId = nextChildCallId(std::string(parent[SendIdHeader]));
            request.set(SendIdHeader, callId);
        }
        const auto response = co_await m_client.send(m_options.targets[target % m_options.targets.size()], std::move(request), timeout);
        m_journal.recordCall(callId, response ? response->result_int() : 0);
        if (response && response->result() == http::status::ok) {
            co_return true;
        }
    }
    co_return false;
}

std::chrono::microseconds StandinServer::drawServiceTime()
{
    const double mean = static_cast<double>(m_options.meanServiceTime.count()) * m_serviceTimeFactor;
    return std::chrono::microseconds(static_cast<std::int64_t>(std::exponential_distribution<double>(1.0 / mean)(m_random)));
}

HttpResponse StandinServer::makeRefusal(const HttpRequest &request, const char *reason)
{
    HttpResponse response = makeResponse(request, http::status::service_unavailable, nlohmann::json{{"error", reason}}.dump());
    response.set(http::field::retry_after, "1");
    response.set("Wf-Not-Executed", "1");
    return response;
}

HttpResponse StandinServer::handleControlRequest(const HttpRequest &request)
{
    const std::string path(request.target());
    constexpr std::string_view slowPath = "/_lab/slow/";
    if (path == "/_lab/stats") {
        return makeResponse(request, http::status::ok, statisticsJson());
    }
    if (path == "/_lab/executions") {
        return makeResponse(request, http::status::ok, nlohmann::json(m_executionRecord.countsByRequest()).dump());
    }
    if (path == "/_lab/load") {
        return makeResponse(request, http::status::ok,
                            nlohmann::json{{"running", m_sampledRunningCount}, {"slots", m_slots.slotCount()}}.dump());
    }
    if (path.starts_with(slowPath)) {
        m_serviceTimeFactor = std::max(0.01, std::strtod(path.c_str() + slowPath.size(), nullptr));
        return makeResponse(request, http::status::ok, "{}");
    }
    if (path == "/_lab/drain") {
        m_draining = true;
        return makeResponse(request, http::status::ok, "{}");
    }
    return makeResponse(request, http::status::not_found, R"({"error":"unknown control path"})");
}

std::string StandinServer::statisticsJson() const
{
    return nlohmann::json{
        {"name", m_options.name},
        {"answered", m_counters.answered},
        {"refused", m_counters.refused},
        {"expired", m_counters.expired},
        {"cancelled", m_counters.cancelled},
        {"childFailures", m_counters.childFailures},
        {"wasted", m_counters.wasted},
        {"executions", m_executionRecord.executionCount()},
        {"repeatedExecutions", m_executionRecord.repeatedExecutionCount()},
        {"running", m_slots.runningCount()},
        {"queued", m_slots.queuedCount()},
    }
        .dump();
}

} // namespace wisteriafork::lab
