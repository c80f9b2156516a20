#pragma once

// Asio 1.74 uses std::exchange without this header, which g++ 12 reports in C++20 mode.
#include <utility>

#include "admin/adminoptions.h"

#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <boost/asio/ssl/context.hpp>

namespace wisteriafork {

// TLS keys of the administration listener. New connections use the keys that were loaded last; a connection keeps those it began with.
// Thread safe.
class TlsKeys
{
public:
    explicit TlsKeys(AdminTls files);

    // Reads the files. Gives an empty text, or why they cannot be used; the keys in use stay then.
    std::string load();

    // Reads the files if one of them changed since the last successful load. Empty if none changed.
    std::optional<std::string> loadIfChanged();

    // Null before the first successful load.
    std::shared_ptr<boost::asio::ssl::context> current() const;

private:
    using Times = std::pair<std::filesystem::file_time_type, std::filesystem::file_time_type>;

    Times fileTimes() const;

    const AdminTls m_files;
    mutable std::mutex m_mutex;
    std::shared_ptr<boost::asio::ssl::context> m_current;
    Times m_loaded;
};

} // namespace wisteriafork
