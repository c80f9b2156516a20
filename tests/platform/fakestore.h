#pragma once

#include <deque>
#include <map>
#include <string>

#include "net/httpserver.h"

#include <nlohmann/json.hpp>

namespace wisteriafork {

// Simulates the reading side of the platform's store: pages of items, changes since a revision, and failures on demand.
class FakeStore : public ServerHandler
{
public:
    explicit FakeStore(asio::io_context &context) : m_server(context, *this, HttpLimits{})
    {
        m_server.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    }

    Tcp::endpoint address() const
    {
        return m_server.address();
    }

    // `encodedValue` is the value as it appears in responses; valid values are base64.
    void putItem(const std::string &key, const std::string &encodedValue)
    {
        m_items[key] = {{"Key", key}, {"Value", encodedValue}, {"CreatedAt", m_revision + 1}, {"Revision", m_revision + 1}};
        recordChange(m_items[key]);
    }

    void removeItem(const std::string &key)
    {
        m_items.erase(key);
        recordChange({{"Key", key}, {"Revision", m_revision + 1}, {"Tombstone", true}});
    }

    // Later watches for changes before the current revision get status 410.
    void discardHistory()
    {
        m_history.clear();
        m_oldestRevision = m_revision;
    }

    void handleRequest(std::shared_ptr<ServerExchange> exchange) override
    {
        ++requestCount;
        if (!failureStatuses.empty()) {
            const unsigned status = failureStatuses.front();
            failureStatuses.pop_front();
            exchange->respond({.status = status});
            return;
        }
        const std::string target = exchange->request->target;
        if (target.starts_with("/-/kv-range?")) {
            exchange->respond({.status = 200, .body = buildPage(queryParameter(target, "after")).dump()});
            if (onPageSent) {
                std::exchange(onPageSent, nullptr)();
            }
        } else {
            respondToWatch(std::move(exchange), std::stoull(queryParameter(target, "after")));
        }
    }

    void handleCancellation(ServerExchange &) override
    {
        m_waitingWatch.reset();
    }

    // HTTP statuses of the next responses, which have no content.
    std::deque<unsigned> failureStatuses;
    std::size_t itemsPerPage = 2;
    // Called once after the next page has been sent.
    std::function<void()> onPageSent;
    // Requests received so far, including those that fail.
    unsigned requestCount = 0;

private:
    static std::string queryParameter(const std::string &target, const std::string &name)
    {
        const std::size_t begin = target.find(name + "=");
        return begin == std::string::npos ? "" : target.substr(begin + name.size() + 1, target.find('&', begin) - begin - name.size() - 1);
    }

    nlohmann::json buildPage(const std::string &after) const
    {
        nlohmann::json items = nlohmann::json::array();
        auto next = after.empty() ? m_items.begin() : m_items.upper_bound(after);
        for (; next != m_items.end() && items.size() < itemsPerPage; ++next) {
            items.push_back(next->second);
        }
        return {{"items", std::move(items)}, {"HasMore", next != m_items.end()}, {"StoreRevision", m_revision}};
    }

    void respondToWatch(std::shared_ptr<ServerExchange> exchange, std::uint64_t after)
    {
        if (after < m_oldestRevision) {
            exchange->respond({.status = 410});
        } else if (after < m_revision) {
            exchange->respond({.status = 200, .body = eventsAfter(after).dump()});
        } else {
            m_waitingWatch = std::move(exchange);
        }
    }

    nlohmann::json eventsAfter(std::uint64_t after) const
    {
        nlohmann::json events = nlohmann::json::array();
        for (const nlohmann::json &event : m_history) {
            if (event["Revision"] > after) {
                events.push_back(event);
            }
        }
        return {{"events", std::move(events)}, {"StoreRevision", m_revision}};
    }

    void recordChange(const nlohmann::json &event)
    {
        const std::uint64_t previousRevision = m_revision++;
        m_history.push_back(event);
        if (const auto watch = std::exchange(m_waitingWatch, nullptr)) {
            watch->respond({.status = 200, .body = eventsAfter(previousRevision).dump()});
        }
    }

    HttpServer m_server;
    std::map<std::string, nlohmann::json> m_items;
    std::vector<nlohmann::json> m_history;
    std::shared_ptr<ServerExchange> m_waitingWatch;
    std::uint64_t m_revision = 0;
    std::uint64_t m_oldestRevision = 0;
};

} // namespace wisteriafork
