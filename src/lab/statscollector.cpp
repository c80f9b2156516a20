#include "lab/statscollector.h"

#include <fstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace wisteriafork::lab {

StatsCollector::StatsCollector(HttpClient &client, std::vector<asio::ip::tcp::endpoint> servers, std::vector<std::string> recordFiles)
    : m_client(client), m_servers(std::move(servers)), m_recordFiles(std::move(recordFiles))
{
}

asio::awaitable<void> StatsCollector::collect()
{
    for (const asio::ip::tcp::endpoint &server : m_servers) {
        const nlohmann::json counters = nlohmann::json::parse(co_await fetchBody(server, "/_lab/stats"), nullptr, false);
        if (!counters.is_object()) {
            ++m_unreachableCount;
            continue;
        }
        for (const auto &[name, value] : counters.items()) {
            if (value.is_number_unsigned()) {
                m_sums[name] += value.get<std::uint64_t>();
            }
        }
        if (m_recordFiles.empty()) {
            co_await collectExecutions(server);
        }
    }
    readRecordFiles();
}

asio::awaitable<void> StatsCollector::collectExecutions(asio::ip::tcp::endpoint server)
{
    const nlohmann::json executions = nlohmann::json::parse(co_await fetchBody(server, "/_lab/executions"), nullptr, false);
    if (!executions.is_object()) {
        ++m_unreachableCount;
        co_return;
    }
    for (const auto &[request, count] : executions.items()) {
        m_executionsByRequest[request] += count.get<std::uint64_t>();
    }
}

void StatsCollector::readRecordFiles()
{
    for (const std::string &file : m_recordFiles) {
        std::ifstream record(file);
        if (!record) {
            ++m_unreachableCount;
        }
        for (std::string request; std::getline(record, request);) {
            ++m_executionsByRequest[request];
        }
    }
}

asio::awaitable<std::string> StatsCollector::fetchBody(asio::ip::tcp::endpoint server, std::string target)
{
    HttpRequest request(http::verb::get, target, 11);
    request.set(http::field::host, "localhost");
    const auto response = co_await m_client.send(server, std::move(request), std::chrono::seconds(5));
    co_return response ? response->body() : std::string();
}

std::string StatsCollector::writeSummary() const
{
    std::uint64_t repeated = 0;
    for (const auto &[request, count] : m_executionsByRequest) {
        repeated += count - 1;
    }
    std::string line = "backend servers:";
    for (const char *name : {"answered", "refused", "expired", "cancelled", "wasted"}) {
        const auto sum = m_sums.find(name);
        line += std::string(" ") + name + " " + std::to_string(sum == m_sums.end() ? 0 : sum->second) + ",";
    }
    line += " bookings run " + std::to_string(m_executionsByRequest.size()) + ", repeated runs " + std::to_string(repeated);
    if (m_unreachableCount > 0) {
        line += ", servers that did not answer " + std::to_string(m_unreachableCount);
    }
    return line + "\n";
}

std::size_t StatsCollector::unreachableCount() const
{
    return m_unreachableCount;
}

} // namespace wisteriafork::lab
