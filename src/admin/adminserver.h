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

enum class AdminStartError : std::uint8_t {
    NoToken,
    TokenTooShort,
    AddressInvalid,
    RemoteNotAllowed,
    RemoteWithoutTls,
    KeysInvalid,
    ListenFailed,
};

// The administration API (docs/administration.md) on its own listener. Serves on the threads that run the io_context, each connection on a
// strand. Create it with `start`; destroy it before the io_context, or call `stop`, to close the listener and all connections.
class AdminServer
{
public:
    // The source and the log must outlive the io_context's run.
    static tl::expected<std::unique_ptr<AdminServer>, AdminStartError> start(boost::asio::io_context &context, AdminOptions options,
                                                                             AdministrationSource &source, EventLog &log);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    std::uint16_t port() const;

    // Reads the key files again for new connections. Keys that cannot be used are reported in the log and the old ones stay.
    bool reloadKeys();

    void stop();

private:
    class Private;
    explicit AdminServer(std::shared_ptr<Private> implementation);
    std::shared_ptr<Private> m_d;
};

// Text for people, for example "no token is configured".
std::string describeAdminStartError(AdminStartError error);

} // namespace wisteriafork
