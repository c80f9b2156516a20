#include "net/bufferbudget.h"

#include <utility>

namespace wisteriafork {

bool BufferBudget::tryTake(std::size_t bytes)
{
    std::size_t used = m_usedBytes;
    do {
        if (bytes > m_limitBytes || used > m_limitBytes - bytes) {
            return false;
        }
    } while (!m_usedBytes.compare_exchange_weak(used, used + bytes));
    return true;
}

void BufferBudget::giveBack(std::size_t bytes)
{
    m_usedBytes -= bytes;
}

BufferReservation::BufferReservation(std::shared_ptr<BufferBudget> budget) : m_budget(std::move(budget))
{
}

BufferReservation::BufferReservation(BufferReservation &&other) noexcept
    : m_budget(std::move(other.m_budget)), m_takenBytes(std::exchange(other.m_takenBytes, 0))
{
}

BufferReservation &BufferReservation::operator=(BufferReservation &&other) noexcept
{
    if (this != &other) {
        release();
        m_budget = std::move(other.m_budget);
        m_takenBytes = std::exchange(other.m_takenBytes, 0);
    }
    return *this;
}

BufferReservation::~BufferReservation()
{
    release();
}

bool BufferReservation::resize(std::size_t messageBytes)
{
    const std::size_t wanted = messageBytes > FreeBytes ? messageBytes : 0;
    if (!m_budget || wanted == m_takenBytes) {
        return true;
    }
    if (wanted > m_takenBytes && !m_budget->tryTake(wanted - m_takenBytes)) {
        return false;
    }
    if (wanted < m_takenBytes) {
        m_budget->giveBack(m_takenBytes - wanted);
    }
    m_takenBytes = wanted;
    return true;
}

void BufferReservation::release()
{
    if (m_budget) {
        m_budget->giveBack(std::exchange(m_takenBytes, 0));
    }
}

} // namespace wisteriafork
