#include "lab/slots.h"

#include <utility>

namespace wisteriafork::lab {

namespace asio = boost::asio;

Slots::Slots(asio::io_context &context, std::size_t count, std::size_t queueLength)
    : m_context(context), m_count(count), m_queueLength(queueLength)
{
}

asio::awaitable<bool> Slots::acquire()
{
    if (m_running < m_count) {
        ++m_running;
        co_return true;
    }
    if (m_waiting.size() >= m_queueLength) {
        co_return false;
    }
    // The releasing request passes its slot on by cancelling the timer.
    auto timer = std::make_shared<asio::steady_timer>(m_context, asio::steady_timer::time_point::max());
    m_waiting.push_back(timer);
    boost::system::error_code error;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, error));
    co_return true;
}

void Slots::release()
{
    if (m_waiting.empty()) {
        --m_running;
        return;
    }
    const std::shared_ptr<asio::steady_timer> next = std::move(m_waiting.front());
    m_waiting.pop_front();
    next->cancel();
}

std::size_t Slots::running() const
{
    return m_running;
}

std::size_t Slots::queued() const
{
    return m_waiting.size();
}

std::size_t Slots::count() const
{
    return m_count;
}

} // namespace wisteriafork::lab
