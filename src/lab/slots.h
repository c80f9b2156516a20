#pragma once

#include "lab/asio.h"

#include <cstddef>
#include <deque>
#include <memory>

namespace wisteriafork::lab {

// The request slots of a stand-in backend server, with a bounded FIFO queue in front.
class Slots
{
public:
    Slots(boost::asio::io_context &context, std::size_t count, std::size_t queueLength);

    // Waits for a slot. Returns false at once if the queue is full.
    boost::asio::awaitable<bool> acquire();
    void release();

    std::size_t running() const;
    std::size_t queued() const;
    std::size_t count() const;

private:
    boost::asio::io_context &m_context;
    std::size_t m_count;
    std::size_t m_queueLength;
    std::size_t m_running = 0;
    std::deque<std::shared_ptr<boost::asio::steady_timer>> m_waiting;
};

} // namespace wisteriafork::lab
