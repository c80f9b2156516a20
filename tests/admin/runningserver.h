#pragma once

#include "admin/adminserver.h"
#include "admin/fakesource.h"

#include <memory>
#include <sstream>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace wisteriafork {

// Options with a reader, an operator and a reader that is limited to the workspace "growers".
inline AdminOptions testOptions()
{
    AdminOptions options;
    options.tokens
        = {{.name = "reader", .secret = "reader-secret-0001", .right = AccessRight::Reader, .workspaces = {}},
           {.name = "operator", .secret = "operator-secret-01", .right = AccessRight::Operator, .workspaces = {}},
           {.name = "growers", .secret = "growers-secret-001", .right = AccessRight::Operator, .workspaces = {WorkspaceId("growers")}}};
    options.requestTimeout = std::chrono::milliseconds(2000);
    return options;
}

// An administration server on a free loopback port with its own thread.
class RunningServer
{
public:
    explicit RunningServer(const AdminOptions &options = testOptions()) : m_work(m_context.get_executor()), m_log({}, m_output)
    {
        auto started = AdminServer::start(m_context, options, source, m_log);
        if (started) {
            server = *std::move(started);
        }
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~RunningServer()
    {
        server.reset();
        m_work.reset();
        m_thread.join();
    }

    RunningServer(const RunningServer &) = delete;
    RunningServer &operator=(const RunningServer &) = delete;

    FakeSource source;
    std::unique_ptr<AdminServer> server;

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::ostringstream m_output;
    EventLog m_log;
    std::thread m_thread;
};

} // namespace wisteriafork
