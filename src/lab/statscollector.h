#pragma once

#include "lab/httpclient.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriafork::lab {

// Adds up the counters of stand-in servers, and counts the requests that were executed more than once on all of them together. Executions
// are read from the record files if any are given, because a killed stand-in server loses the counts in its memory.
class StatsCollector
{
public:
    StatsCollector(HttpClient &client, std::vector<asio::ip::tcp::endpoint> servers, std::vector<std::string> recordFiles = {});

    // Queries all servers and reads the record files. Call once.
    asio::awaitable<void> collect();

    // Returns the sums as one line of text.
    std::string writeSummary() const;
    // Number of failures to query a server or to open a record file.
    std::size_t unreachableCount() const;

private:
    asio::awaitable<void> collectExecutions(asio::ip::tcp::endpoint server);
    void readRecordFiles();
    // Returns the body of the response, or an empty string if there is no response.
    asio::awaitable<std::string> fetchBody(asio::ip::tcp::endpoint server, std::string target);

    HttpClient &m_client;
    std::vector<asio::ip::tcp::endpoint> m_servers;
    std::vector<std::string> m_recordFiles;
    // Sums of the counters by name.
    std::map<std::string, std::uint64_t> m_sums;
    std::map<std::string, std::uint64_t> m_executionsByRequest;
    std::size_t m_unreachableCount = 0;
};

} // namespace wisteriafork::lab
