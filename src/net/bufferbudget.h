#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace wisteriafork {

// Bound of the bytes that all connections of a node buffer together. One object is shared by all servers and clients of the node; its
// members may be used from any thread.
class BufferBudget
{
public:
    explicit BufferBudget(std::size_t limitBytes) : m_limitBytes(limitBytes)
    {
    }

    // Takes this many bytes. False if fewer are left; nothing is taken then.
    bool tryTake(std::size_t bytes);
    // Gives bytes back that were taken.
    void giveBack(std::size_t bytes);

    std::size_t usedBytes() const
    {
        return m_usedBytes;
    }

private:
    const std::size_t m_limitBytes;
    std::atomic<std::size_t> m_usedBytes = 0;
};

// Share of a budget for one message while it is buffered. Messages up to `FreeBytes` need none, so that messages of usual size pass also
// while large ones fill the budget. Not thread safe.
class BufferReservation
{
public:
    static constexpr std::size_t FreeBytes = std::size_t{64} * 1024;

    // Without a budget, every size fits.
    explicit BufferReservation(std::shared_ptr<BufferBudget> budget);
    BufferReservation(BufferReservation &&other) noexcept;
    BufferReservation &operator=(BufferReservation &&other) noexcept;
    BufferReservation(const BufferReservation &) = delete;
    BufferReservation &operator=(const BufferReservation &) = delete;
    ~BufferReservation();

    // Adapts the share to the size of the message. False if the budget has too little left; the share is unchanged then.
    bool resize(std::size_t messageBytes);

    // True if the message has a share of the budget.
    bool holdsRoom() const
    {
        return m_takenBytes > 0;
    }

private:
    void release();

    std::shared_ptr<BufferBudget> m_budget;
    std::size_t m_takenBytes = 0;
};

} // namespace wisteriafork
