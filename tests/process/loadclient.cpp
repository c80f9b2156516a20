#include "loadclient.h"

#include "standinserver.h"

#include <boost/asio/executor_work_guard.hpp>

namespace wisteriafork {

namespace {

// Pause before a refused request is sent again.
constexpr std::chrono::milliseconds ResendPause{20};

} // namespace

LoadClient::LoadClient(std::uint16_t port, std::size_t inFlight, std::uint64_t seed)
    : m_client(m_context, {.server = Tcp::endpoint(asio::ip::address_v4::loopback(), port), .connections = inFlight})
    , m_inFlight(inFlight)
    , m_random(seed)
{
    m_thread = std::thread([this] {
        const auto guard = asio::make_work_guard(m_context);
        m_context.run();
    });
}

LoadClient::~LoadClient()
{
    m_context.stop();
    m_thread.join();
}

LoadCounts LoadClient::run(std::uint64_t requests, std::chrono::seconds bound)
{
    {
        const std::lock_guard lock(m_mutex);
        m_requests = requests;
    }
    for (std::size_t i = 0; i < m_inFlight; ++i) {
        asio::post(m_context, [this] { sendNext(); });
    }
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, bound, [this] { return m_counts.total() == m_requests; });
    return m_counts;
}

void LoadClient::stopSending()
{
    const std::lock_guard lock(m_mutex);
    m_requests = m_sent;
    m_stopped = true;
    m_changed.notify_all();
}

std::uint64_t LoadClient::finished() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts.total();
}

void LoadClient::sendNext()
{
    auto request = std::make_shared<HttpRequest>();
    {
        const std::lock_guard lock(m_mutex);
        if (m_sent >= m_requests) {
            return;
        }
        const std::string number = std::to_string(m_sent++);
        const bool search = m_random() % 2 == 0;
        request->method = search ? "POST" : "GET";
        request->target = (search ? "/registar/search?n=" : "/registar/shelves/") + number;
        if (search) {
            request->body.assign(m_random() % 3000, static_cast<char>('a' + m_random() % 26));
            request->body += number;
        }
    }
    send(request);
}

void LoadClient::send(const std::shared_ptr<const HttpRequest> &request)
{
    m_client.send(request, {}, [this, request](const tl::expected<HttpResponse, ExchangeError> &result) { answered(request, result); });
}

void LoadClient::sendAgain(std::shared_ptr<const HttpRequest> request)
{
    auto timer = std::make_shared<Timer>(asio::make_strand(m_context), ResendPause);
    timer->async_wait([this, timer, request = std::move(request)](const ErrorCode &) { send(request); });
}

void LoadClient::answered(const std::shared_ptr<const HttpRequest> &request, const tl::expected<HttpResponse, ExchangeError> &result)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!result) {
            ++(result.error() == ExchangeError::NotSent ? m_counts.notSent : m_counts.broken);
        } else if (result->status == 200) {
            ++(result->body == StandinServer::answerTo(*request) ? m_counts.matching : m_counts.mismatching);
        } else if (result->headers.find("wf-outcome") != "not-run") {
            ++m_counts.otherErrors;
        } else if (m_stopped) {
            ++m_counts.refusedAtEnd;
        } else {
            sendAgain(request);
            return;
        }
        m_changed.notify_all();
    }
    asio::post(m_context, [this] { sendNext(); });
}

} // namespace wisteriafork
