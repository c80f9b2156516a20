#include "standinserver.h"

namespace wisteriafork {

StandinServer::StandinServer(std::chrono::microseconds longestDelay, std::uint64_t seed)
    : m_server(m_context, *this, {}), m_longestDelay(longestDelay), m_random(seed)
{
    m_server.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    m_thread = std::thread([this] { m_context.run(); });
}

StandinServer::~StandinServer()
{
    m_context.stop();
    m_thread.join();
}

std::string StandinServer::answerTo(const HttpRequest &request)
{
    return request.method + " " + request.target + "\n" + request.body;
}

void StandinServer::handleRequest(std::shared_ptr<ServerExchange> exchange)
{
    ++m_received;
    HttpResponse response;
    response.headers.add("content-type", "text/plain");
    response.headers.add("x-seen-attempts", std::string(exchange->request->headers.find("wf-attempts-left")));
    response.body = answerTo(*exchange->request);
    std::chrono::microseconds delay{0};
    {
        const std::lock_guard lock(m_mutex);
        delay = std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(0, m_longestDelay.count())(m_random));
    }
    if (delay.count() == 0) {
        exchange->respond(std::move(response));
        return;
    }
    auto timer = std::make_shared<Timer>(asio::make_strand(m_context), delay);
    timer->async_wait([timer, exchange, answer = std::move(response)](const ErrorCode &) mutable { exchange->respond(std::move(answer)); });
}

void StandinServer::handleGone(ServerExchange &)
{
    ++m_cancelled;
}

} // namespace wisteriafork
