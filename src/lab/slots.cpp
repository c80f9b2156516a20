#include "lab/slots.h"

#include <utility>

namespace wisteriafork::lab {

namespace asio = boost::asio;

Slots::Slots(asio::io_context &context, std::size_t count, std::size_t maxQueueLength)
    : m_context(context), m_slotCount(count), m_maxQueueLength(maxQueueLength)
{
}

asio::awaitable<bool> Slots::acquire()
{
    if (m_runningCount < m_slotCount) {
        ++m_runningCount;
        co_return true;
    }
    if (m_waitingRequests.size() >= m_maxQueueLength) {
        co_return false;
    }
    // `release` hands its slot over by cancelling the timer.
    auto timer = std::make_shared<asio::steady_timer>(m_context, asio::steady_timer::time_point::max());
    m_waitingRequests.push_back(timer);
    boost::system::error_code error;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, error));
    co_return true;
}

void Slots::release()
{
    if (m_waitingRequests.empty()) {
        --m_runningCount;
        return;
    }
    const std::shared_ptr<asio::steady_timer> next = std::move(m_waitingRequests.front());
    m_waitingRequests.pop_front();
    next->cancel();
}

std::size_t Slots::runningCount() const
{
    return m_runningCount;
}

std::size_t Slots::queuedCount() const
{
    return m_waitingRequests.size();
}

std::size_t Slots::slotCount() const
{
    return m_slotCount;
}

} // namespace wisteriafork::lab
