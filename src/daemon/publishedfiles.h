#pragma once

#include "core/config/configuration.h"
#include "net/asio.h"
#include "net/repeatingtimer.h"
#include "observability/eventlog.h"
#include "relay/relay.h"

#include <filesystem>
#include <optional>
#include <string>

namespace wisteriafork {

// Applies the configuration and the list of instances from two files to a relay, at the start and whenever a file changes. If a file cannot
// be read or has errors, its previous content stays in force. Not thread safe; runs on the context.
class PublishedFiles
{
public:
    // `context`, `relay` and `log` must outlive the object.
    PublishedFiles(asio::io_context &context, Relay &relay, EventLog &log, std::string configurationFile, std::string instancesFile);

    // Reads both files and then polls them for changes.
    void start();
    // Reads both files, even if their modification times are unchanged.
    void reload();
    // Stops polling.
    void stop();

    // Document of the configuration in force, as sent to other nodes; empty before the first configuration.
    const std::string &snapshot() const
    {
        return m_configurationText;
    }

    // Applies the configuration document that another node has in force, if it is valid and newer than the one here.
    void applyPeerSnapshot(const std::string &peerAddress, const std::string &text);

    // Configuration in force; empty before the first configuration.
    const std::optional<Configuration> &configuration() const
    {
        return m_configuration;
    }

private:
    // A file that is polled for changes.
    struct WatchedFile
    {
        std::string name;
        // Modification time of the content that was read last; empty to read the file again.
        std::optional<std::filesystem::file_time_type> modifiedAt = {};
        // The last attempt to read the file failed.
        bool unreadable = false;
    };

    // Returns the content of the file if it changed since it was last read; empty if it is unchanged or cannot be read. Logs when the file
    // becomes unreadable and when it is readable again.
    std::optional<std::string> readIfChanged(WatchedFile &file);
    void poll();
    // Returns whether the configuration is now in force. Logs the findings of an invalid one. `source` names its origin in the log.
    bool applyConfiguration(const std::string &source, const std::string &text);
    void applyInstances(const std::string &text);

    Relay &m_relay;
    EventLog &m_log;
    WatchedFile m_configurationFile;
    WatchedFile m_instancesFile;
    std::string m_configurationText;
    std::optional<Configuration> m_configuration;
    RepeatingTimer m_timer;
};

} // namespace wisteriafork
