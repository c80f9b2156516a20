#include "core/overload/refusedrequests.h"

#include <utility>

namespace wisteriafork {

RefusedRequests::RefusedRequests(std::size_t limit, Duration memory) : m_limit(limit), m_memory(memory)
{
}

void RefusedRequests::add(std::uint64_t requestHash, TimePoint now)
{
    if (m_younger.size() >= m_limit || now - m_started >= m_memory) {
        m_older = std::exchange(m_younger, {});
        if (now - m_started >= 2 * m_memory) {
            m_older.clear();
        }
        m_started = now;
    }
    m_younger.insert(requestHash);
}

bool RefusedRequests::contains(std::uint64_t requestHash, TimePoint now) const
{
    return now - m_started < 2 * m_memory && (m_younger.contains(requestHash) || m_older.contains(requestHash));
}

} // namespace wisteriafork
