#include "lab/standinplatform.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace wisteriafork::lab {

namespace {

constexpr std::string_view ReadPath = "/v1/values/";
constexpr std::string_view PublishPath = "/_lab/values/";
// Longest time for which a watch waits, whatever the client asks for.
constexpr std::chrono::milliseconds MaxWait(60000);

// Value of a numeric query parameter, 0 if it is missing or malformed.
std::uint64_t queryNumber(std::string_view query, std::string_view name)
{
    std::size_t position = 0;
    while (position < query.size()) {
        const std::size_t end = std::min(query.find('&', position), query.size());
        const std::string_view pair = query.substr(position, end - position);
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=') {
            std::uint64_t number = 0;
            const std::string_view text = pair.substr(name.size() + 1);
            std::from_chars(text.data(), text.data() + text.size(), number);
            return number;
        }
        position = end + 1;
    }
    return 0;
}

} // namespace

StandinPlatform::StandinPlatform(asio::io_context &context, std::uint16_t port)
    : m_context(context)
    , m_server(context, port, [this](HttpRequest request, RequestContext connection) { return handle(std::move(request), connection); })
{
}

void StandinPlatform::start()
{
    m_server.start();
}

asio::awaitable<HttpResponse> StandinPlatform::handle(HttpRequest request, RequestContext)
{
    if (request.target().starts_with("/_lab/")) {
        co_return control(request);
    }
    ++m_reads;
    const std::string target(request.target());
    if (m_stopped || !target.starts_with(ReadPath)) {
        co_return makeResponse(request, m_stopped ? http::status::service_unavailable : http::status::not_found, "{}");
    }
    co_return co_await read(request, target.substr(ReadPath.size()));
}

asio::awaitable<HttpResponse> StandinPlatform::read(const HttpRequest &request, std::string target)
{
    const std::size_t mark = std::min(target.find('?'), target.size());
    const std::string key = target.substr(0, mark);
    const std::string_view query = std::string_view(target).substr(std::min(mark + 1, target.size()));
    const std::uint64_t after = queryNumber(query, "after");
    const auto wait = std::min(std::chrono::milliseconds(queryNumber(query, "wait_ms")), MaxWait);
    const auto end = std::chrono::steady_clock::now() + wait;
    ++m_waiting;
    for (;;) {
        const auto found = visibleValues().find(key);
        if (found != visibleValues().end() && found->second.version > after) {
            --m_waiting;
            const nlohmann::json body{{"version", found->second.version}, {"value", found->second.text}};
            co_return makeResponse(request, http::status::ok, body.dump());
        }
        if (m_stopped || std::chrono::steady_clock::now() >= end) {
            --m_waiting;
            const http::status status
                = m_stopped ? http::status::service_unavailable : (after > 0 ? http::status::not_modified : http::status::not_found);
            co_return makeResponse(request, status, "");
        }
        asio::steady_timer timer(m_context);
        timer.expires_at(std::min(end, std::chrono::steady_clock::now() + std::chrono::milliseconds(20)));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

const std::map<std::string, StandinPlatform::Value> &StandinPlatform::visibleValues() const
{
    return m_frozen ? m_frozenValues : m_values;
}

void StandinPlatform::publish(const std::string &key, std::string text)
{
    Value &value = m_values[key];
    ++value.version;
    value.text = std::move(text);
}

HttpResponse StandinPlatform::control(const HttpRequest &request)
{
    const std::string path(request.target());
    if (path.starts_with(PublishPath) && request.method() == http::verb::put) {
        publish(path.substr(PublishPath.size()), request.body());
    } else if (path == "/_lab/freeze") {
        m_frozenValues = m_values;
        m_frozen = true;
    } else if (path == "/_lab/thaw") {
        m_frozen = false;
    } else if (path == "/_lab/stop") {
        m_stopped = true;
    } else if (path == "/_lab/start") {
        m_stopped = false;
    } else if (path == "/_lab/stats") {
        return makeResponse(request, http::status::ok, nlohmann::json{{"reads", m_reads}, {"waiting", m_waiting}}.dump());
    } else {
        return makeResponse(request, http::status::not_found, R"({"error":"unknown control path"})");
    }
    return makeResponse(request, http::status::ok, "{}");
}

} // namespace wisteriafork::lab
