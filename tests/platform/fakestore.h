#pragma once

#include <deque>
#include <map>
#include <string>

#include "net/httpserver.h"

#include <nlohmann/json.hpp>

namespace wisteriafork {

// The platform's store as far as a reader sees it: pages of items, changes since a revision, and what goes wrong with it.
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

    // The value is given as it stands in the answers.
    void put(const std::string &key, const std::string &encodedValue)
    {
        m_items[key] = {{"Key", key}, {"Value", encodedValue}, {"CreatedAt", m_revision + 1}, {"Revision", m_revision + 1}};
        change(m_items[key]);
    }

    void remove(const std::string &key)
    {
        m_items.erase(key);
        change({{"Key", key}, {"Revision", m_revision + 1}, {"Tombstone", true}});
    }

    void forgetHistory()
    {
        m_history.clear();
        m_oldest = m_revision;
    }

    void handleRequest(std::shared_ptr<ServerExchange> exchange) override
    {
        ++calls;
        if (!failures.empty()) {
            const unsigned status = failures.front();
            failures.pop_front();
            exchange->respond({.status = status});
            return;
        }
        const std::string target = exchange->request->target;
        if (target.starts_with("/-/kv-range?")) {
            exchange->respond({.status = 200, .body = page(parameter(target, "after")).dump()});
            if (afterPage) {
                std::exchange(afterPage, nullptr)();
            }
        } else {
            answerWatch(std::move(exchange), std::stoull(parameter(target, "after")));
        }
    }

    void handleCancellation(ServerExchange &) override
    {
        m_waiting.reset();
    }

    // Statuses of the next answers.
    std::deque<unsigned> failures;
    std::size_t itemsPerPage = 2;
    // Called once after the next page.
    std::function<void()> afterPage;
    unsigned calls = 0;

private:
    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t begin = target.find(name + "=");
        return begin == std::string::npos ? "" : target.substr(begin + name.size() + 1, target.find('&', begin) - begin - name.size() - 1);
    }

    nlohmann::json page(const std::string &after) const
    {
        nlohmann::json items = nlohmann::json::array();
        auto next = after.empty() ? m_items.begin() : m_items.upper_bound(after);
        for (; next != m_items.end() && items.size() < itemsPerPage; ++next) {
            items.push_back(next->second);
        }
        return {{"items", std::move(items)}, {"HasMore", next != m_items.end()}, {"StoreRevision", m_revision}};
    }

    void answerWatch(std::shared_ptr<ServerExchange> exchange, std::uint64_t after)
    {
        if (after < m_oldest) {
            exchange->respond({.status = 410});
        } else if (after < m_revision) {
            exchange->respond({.status = 200, .body = eventsAfter(after).dump()});
        } else {
            m_waiting = std::move(exchange);
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

    void change(const nlohmann::json &event)
    {
        const std::uint64_t before = m_revision++;
        m_history.push_back(event);
        if (const auto waiting = std::exchange(m_waiting, nullptr)) {
            waiting->respond({.status = 200, .body = eventsAfter(before).dump()});
        }
    }

    HttpServer m_server;
    std::map<std::string, nlohmann::json> m_items;
    std::vector<nlohmann::json> m_history;
    std::shared_ptr<ServerExchange> m_waiting;
    std::uint64_t m_revision = 0;
    std::uint64_t m_oldest = 0;
};

} // namespace wisteriafork
