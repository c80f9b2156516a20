#include "net/connectionledger.h"

#include <utility>

namespace wisteriafork {

ConnectionLedger::ConnectionLedger(std::size_t maxConnections) : m_maxConnections(maxConnections)
{
}

ConnectionLedger::Entry::Entry(std::shared_ptr<ConnectionLedger> ledger) : m_ledger(std::move(ledger))
{
    if (m_ledger) {
        const std::lock_guard lock(m_ledger->m_mutex);
        ++m_ledger->m_open;
        m_number = ++m_ledger->m_lastNumber;
    }
}

ConnectionLedger::Entry::~Entry()
{
    endWait();
    if (m_ledger) {
        const std::lock_guard lock(m_ledger->m_mutex);
        m_ledger->m_open -= m_ledger->m_yielding.erase(m_number) > 0 ? 0 : 1;
    }
}

void ConnectionLedger::Entry::beginWait(std::function<void()> yield)
{
    if (m_ledger) {
        endWait();
        const std::lock_guard lock(m_ledger->m_mutex);
        m_wait = ++m_ledger->m_lastNumber;
        m_ledger->m_waiting.emplace(m_wait, Waiting{.connection = m_number, .yield = std::move(yield)});
    }
}

void ConnectionLedger::Entry::endWait()
{
    if (m_ledger && m_wait != 0) {
        const std::lock_guard lock(m_ledger->m_mutex);
        m_ledger->m_waiting.erase(std::exchange(m_wait, 0));
    }
}

bool ConnectionLedger::makeRoom()
{
    std::function<void()> yield;
    {
        const std::lock_guard lock(m_mutex);
        if (m_open < m_maxConnections) {
            return true;
        }
        if (m_waiting.empty()) {
            return false;
        }
        const auto oldest = m_waiting.begin();
        yield = std::move(oldest->second.yield);
        m_yielding.insert(oldest->second.connection);
        m_waiting.erase(oldest);
        --m_open;
        ++m_yielded;
    }
    yield();
    return true;
}

std::size_t ConnectionLedger::yieldedConnections() const
{
    const std::lock_guard lock(m_mutex);
    return m_yielded;
}

} // namespace wisteriafork
