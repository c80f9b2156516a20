#pragma once

#include "admin/adminoptions.h"
#include "core/config/findings.h"
#include "observability/eventlog.h"
#include "relay/relaysettings.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisteriafork {

// Names of the files for mutual TLS authentication between nodes, in PEM format.
struct TlsSettings
{
    std::string certificateFile;
    std::string keyFile;
    std::string authorityFile;
};

// Settings of one node, read from a JSON file when the process starts.
struct Settings
{
    // Without the TLS keys, which are loaded when the node starts.
    RelaySettings relay;
    // Empty only if the settings explicitly request plain text between nodes.
    std::optional<TlsSettings> tls;
    // Names of the files that the deployment replaces when the configuration or the list of instances changes.
    std::string configurationFile;
    std::string instancesFile;
    LogOptions log;
    // Name of the file to which the log is appended; empty for standard error.
    std::string logFile;
    // Empty if the settings have no section `administration`: the node then serves no administration API.
    std::optional<AdminOptions> administration;
};

// Parses a settings document. Relative file names in it are resolved against `directory`. Returns either the settings or all findings;
// never throws.
ValueOrFindings<Settings> parseSettings(std::string_view text, const std::string &directory);

} // namespace wisteriafork
