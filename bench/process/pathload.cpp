#include "pathload.h"

#include <algorithm>

namespace wisteriafork {

PathLoad::PathLoad(asio::io_context &context, std::uint16_t port, std::size_t connections)
    : m_client(context, {.server = Tcp::endpoint(asio::ip::address_v4::loopback(), port), .connections = connections})
{
}

void PathLoad::send()
{
    auto request = std::make_shared<HttpRequest>();
    request->method = "GET";
    request->target = "/registar/shelves/" + std::to_string(++m_number);
    ++m_inFlight;
    const auto sent = std::chrono::steady_clock::now();
    m_client.send(std::move(request), {}, [this, sent](const tl::expected<HttpResponse, ExchangeError> &result) {
        --m_inFlight;
        if (result && result->status == 200) {
            m_times.push_back(std::chrono::steady_clock::now() - sent);
        } else {
            ++m_refused;
        }
        if (m_closedLoop) {
            send();
        }
    });
}

void PathLoad::startClosedLoop(std::size_t inFlight)
{
    m_closedLoop = true;
    for (std::size_t i = 0; i < inFlight; ++i) {
        send();
    }
}

void PathLoad::stop()
{
    m_closedLoop = false;
}

void PathLoad::clear()
{
    m_times.clear();
    m_refused = 0;
}

std::chrono::nanoseconds PathLoad::percentile(double share)
{
    if (m_times.empty()) {
        return std::chrono::nanoseconds(0);
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(m_times.size() - 1));
    std::nth_element(m_times.begin(), m_times.begin() + static_cast<std::ptrdiff_t>(index), m_times.end());
    return m_times[index];
}

} // namespace wisteriafork
