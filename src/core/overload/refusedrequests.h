#pragma once

#include "core/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace wisteriafork {

// Hashes of the requests that this node refused recently, so that resends are told from fresh requests. Keeps two generations; the older
// one is dropped when the younger one is full or old.
class RefusedRequests
{
public:
    RefusedRequests(std::size_t limit, Duration memory);

    void add(std::uint64_t requestHash, TimePoint now);
    bool contains(std::uint64_t requestHash, TimePoint now) const;

private:
    std::size_t m_limit;
    Duration m_memory;
    TimePoint m_started;
    std::unordered_set<std::uint64_t> m_younger;
    std::unordered_set<std::uint64_t> m_older;
};

} // namespace wisteriafork
