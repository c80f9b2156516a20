#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace wisteriafork::lab {

// Counts how often each request ran on a stand-in. It is the independent judge of the at-most-once rules.
class ExecutionRecord
{
public:
    void add(const std::string &requestId)
    {
        ++m_total;
        if (++m_byRequest[requestId] > 1) {
            ++m_repeated;
        }
    }

    std::uint64_t total() const
    {
        return m_total;
    }

    // Executions beyond the first of each request.
    std::uint64_t repeated() const
    {
        return m_repeated;
    }

    const std::unordered_map<std::string, std::uint32_t> &byRequest() const
    {
        return m_byRequest;
    }

private:
    std::unordered_map<std::string, std::uint32_t> m_byRequest;
    std::uint64_t m_total = 0;
    std::uint64_t m_repeated = 0;
};

} // namespace wisteriafork::lab
