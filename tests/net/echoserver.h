#pragma once

#include "net/httpserver.h"
#include "net/peerserver.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>

namespace wisteriafork {

// I/O context that one thread runs for the lifetime of a test.
class RunningContext
{
public:
    RunningContext() : m_work(asio::make_work_guard(context)), m_thread([this] { context.run(); })
    {
    }

    ~RunningContext()
    {
        stop();
    }

    // Stops the context and joins the thread, so that objects that it uses can be destroyed.
    void stop()
    {
        context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    asio::io_context context;

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

// Responds with the body "<method> <target> <body>" of the request. Requests for "/hold" are held until `release`.
class EchoHandler : public ServerHandler
{
public:
    void handleRequest(std::shared_ptr<ServerExchange> exchange) override
    {
        ++received;
        if (exchange->request->target == "/hold") {
            const std::lock_guard lock(m_mutex);
            m_held.push_back(std::move(exchange));
            return;
        }
        respond(*exchange);
    }

    void handleCancellation(ServerExchange &) override
    {
        ++cancelled;
    }

    // Responds to the held requests.
    void release()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &exchange : std::exchange(m_held, {})) {
            respond(*exchange);
        }
    }

    std::atomic<int> received = 0;
    std::atomic<int> cancelled = 0;

private:
    static void respond(ServerExchange &exchange)
    {
        HttpResponse response;
        response.body = exchange.request->method + " " + exchange.request->target + " " + exchange.request->body;
        exchange.respond(std::move(response));
    }

    std::mutex m_mutex;
    std::vector<std::shared_ptr<ServerExchange>> m_held;
};

// Waits until the condition holds. False after 30 s, which only prevents a hanging test.
template <typename Condition>
bool waitUntil(Condition condition)
{
    const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > bound) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

} // namespace wisteriafork
