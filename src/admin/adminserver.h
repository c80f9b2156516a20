#pragma once

// Asio 1.74 uses std::exchange without this header, which g++ 12 reports in C++20 mode.
#include <utility>

#include "admin/administrationsource.h"
#include "admin/adminoptions.h"
#include "observability/eventlog.h"

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

namespace wisteriafork {

// Reason why the administration server did not start.
enum class AdminStartError : std::uint8_t {
    NoToken,
    TokenTooShort,
    AddressInvalid,
    RemoteNotAllowed,
    RemoteWithoutTls,
    KeysInvalid,
    ListenFailed,
};

// Serves the administration API (docs/administration.md) on its own listener. It runs on the threads that run the io_context, with one
// strand for each connection. Destroy it before the io_context, or call `stop`, to close the listener and all connections.
class AdminServer
{
public:
    // Checks the options, loads the TLS keys and starts to listen. The source and the log must outlive the run of the io_context.
    static tl::expected<std::unique_ptr<AdminServer>, AdminStartError> start(boost::asio::io_context &context, AdminOptions options,
                                                                             AdministrationSource &source, EventLog &log);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    // Port of the listener.
    std::uint16_t port() const;

    // Reads the key files again, for new connections. If the keys cannot be used, the reason is logged and the old keys stay in use. False
    // in this case and without TLS.
    bool reloadKeys();

    // Closes the listener and all connections; returns before this is done.
    void stop();

private:
    class Impl;
    explicit AdminServer(std::shared_ptr<Impl> implementation);
    std::shared_ptr<Impl> m_impl;
};

// Message for the operator, for example "no token is configured".
std::string describeAdminStartError(AdminStartError error);

} // namespace wisteriafork
