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

// Shared by the connections of one administration server. The objects must outlive all connections.
struct AdminSessionContext
{
    const AdminOptions &options;
    const AdminHandler &handler;
    EventLog &log;
};

// One connection to the administration API, on its own strand. It keeps itself alive until the connection is closed.
class AdminSession
{
public:
    virtual ~AdminSession() = default;

    // Starts to serve requests. `onClosed` is called once, when the connection has been closed.
    virtual void start(std::function<void()> onClosed) = 0;

    // Closes the connection. May be called from any thread.
    virtual void close() = 0;
};

// Creates a session that speaks TLS with the keys in `tlsContext`, or plain HTTP if that is null.
std::shared_ptr<AdminSession> makeAdminSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<boost::asio::ssl::context> tlsContext,
                                               std::shared_ptr<const AdminSessionContext> context);

} // namespace wisteriafork
