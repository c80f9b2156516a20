#pragma once

// Asio 1.74 uses std::exchange without this header, which g++ 12 reports in C++20 mode.
#include <utility>

#include "admin/adminhandler.h"
#include "admin/adminoptions.h"
#include "observability/eventlog.h"

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

namespace wisteriafork {

// What the connections of one administration server share. The objects referred to outlive all connections.
struct AdminSessionContext
{
    const AdminOptions &options;
    const AdminHandler &handler;
    EventLog &log;
};

// One connection to the administration API, on its own strand. Keeps itself alive until it is closed.
class AdminSession
{
public:
    virtual ~AdminSession() = default;

    // Starts to serve; `ended` is called once when the connection is closed.
    virtual void start(std::function<void()> ended) = 0;

    // Closes the connection, from any thread.
    virtual void close() = 0;
};

// A plain connection, or a TLS connection if keys are given.
std::shared_ptr<AdminSession> makeAdminSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<boost::asio::ssl::context> keys,
                                               std::shared_ptr<const AdminSessionContext> context);

} // namespace wisteriafork
