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

// Loads and reloads the TLS keys of the administration listener. A connection keeps the keys that were in use when it began. Thread safe.
class TlsKeys
{
public:
    explicit TlsKeys(AdminTls files);

    // Reads the files. Returns an empty string, or the reason why the keys cannot be used; then the previous keys stay in use.
    std::string load();

    // Calls `load` if one of the files changed since the last successful load. Empty if none changed, otherwise the result of `load`.
    std::optional<std::string> loadIfChanged();

    // The keys for new connections; null before the first successful load.
    std::shared_ptr<boost::asio::ssl::context> currentContext() const;

private:
    using FileTimes = std::pair<std::filesystem::file_time_type, std::filesystem::file_time_type>;

    // Modification times of the certificate file and the key file.
    FileTimes fileTimes() const;

    const AdminTls m_files;
    mutable std::mutex m_mutex;
    std::shared_ptr<boost::asio::ssl::context> m_context;
    FileTimes m_loadedTimes;
};

} // namespace wisteriafork
