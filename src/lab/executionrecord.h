#pragma once

#include <cstdint>
#include <fstream>
#include <string>
#include <unordered_map>

namespace wisteriafork::lab {

// Counts how often a stand-in server executed each request, so that repeated executions are found independently of the nodes.
class ExecutionRecord
{
public:
    // If `file` is not empty, each execution is also appended to this file when it begins, one request id per line. The file keeps the
    // executions of a stand-in server that is killed.
    explicit ExecutionRecord(const std::string &file)
    {
        if (!file.empty()) {
            m_file.open(file, std::ios::app);
        }
    }

    // Call when the execution of the request begins.
    void recordExecution(const std::string &requestId)
    {
        if (m_file.is_open()) {
            m_file << requestId << std::endl;
        }
        ++m_executionCount;
        if (++m_countsByRequest[requestId] > 1) {
            ++m_repeatedExecutionCount;
        }
    }

    // Executions of all requests.
    std::uint64_t executionCount() const
    {
        return m_executionCount;
    }

    // Executions of all requests, not counting the first one of each.
    std::uint64_t repeatedExecutionCount() const
    {
        return m_repeatedExecutionCount;
    }

    // Number of executions by request id.
    const std::unordered_map<std::string, std::uint32_t> &countsByRequest() const
    {
        return m_countsByRequest;
    }

private:
    std::unordered_map<std::string, std::uint32_t> m_countsByRequest;
    std::ofstream m_file;
    std::uint64_t m_executionCount = 0;
    std::uint64_t m_repeatedExecutionCount = 0;
};

} // namespace wisteriafork::lab
