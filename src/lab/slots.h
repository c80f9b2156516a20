#pragma once

#include "lab/asio.h"

#include <cstddef>
#include <deque>
#include <memory>

namespace wisteriafork::lab {

// The request slots of a stand-in server, with a bounded FIFO queue of requests that wait for one.
class Slots
{
public:
    Slots(boost::asio::io_context &context, std::size_t count, std::size_t maxQueueLength);

    // Waits for a slot and returns true, or returns false at once if the queue is full.
    boost::asio::awaitable<bool> acquire();
    // Gives an acquired slot to the first waiting request, or frees it.
    void release();

    // Requests that hold a slot.
    std::size_t runningCount() const;
    std::size_t queuedCount() const;
    std::size_t slotCount() const;

private:
    boost::asio::io_context &m_context;
    std::size_t m_slotCount;
    std::size_t m_maxQueueLength;
    std::size_t m_runningCount = 0;
    // Requests in the queue; each waits on its timer.
    std::deque<std::shared_ptr<boost::asio::steady_timer>> m_waitingRequests;
};

} // namespace wisteriafork::lab
