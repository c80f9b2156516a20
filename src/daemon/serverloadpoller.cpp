#include "daemon/serverloadpoller.h"

#include <nlohmann/json.hpp>

namespace wisteriafork {

namespace {

constexpr std::size_t MaxLoadAnswer = std::size_t{64} * 1024;

HttpClientOptions clientOptions(const ServerSettings &server)
{
    HttpClientOptions options{.server = server.address, .connections = 1, .idleTimeout = server.idleTimeout};
    options.limits.answerBodyBytes = MaxLoadAnswer;
    return options;
}

} // namespace

ServerLoadPoller::ServerLoadPoller(asio::io_context &context, const ServerSettings &server, CoreRunner &core)
    : m_client(context, clientOptions(server))
    , m_timer(context, server.loadInterval, [this] { poll(); })
    , m_core(core)
    , m_request(std::make_shared<HttpRequest>())
{
    m_request->method = "GET";
    m_request->target = server.loadPath;
}

void ServerLoadPoller::start()
{
    if (!m_request->target.empty()) {
        m_timer.start();
    }
}

void ServerLoadPoller::stop()
{
    m_timer.stop();
    m_client.stop();
}

void ServerLoadPoller::poll()
{
    // A server that does not answer gets no second question meanwhile.
    if (!m_pending.exchange(true)) {
        m_client.send(m_request, {}, [this](const tl::expected<HttpResponse, ExchangeError> &result) { answered(result); });
    }
}

void ServerLoadPoller::answered(const tl::expected<HttpResponse, ExchangeError> &result)
{
    m_pending = false;
    const nlohmann::json load = result && result->status == 200 ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
    const auto number = [&load](const char *name) {
        return load.is_object() && load.contains(name) && load[name].is_number_unsigned();
    };
    if (number("running") && number("slots")) {
        m_core.post(ServerLoadRead{.running = load["running"].get<std::uint32_t>(), .slots = load["slots"].get<std::uint32_t>()});
    }
}

} // namespace wisteriafork
