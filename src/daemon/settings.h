#pragma once

#include "admin/adminoptions.h"
#include "core/config/findings.h"
#include "observability/eventlog.h"
#include "relay/relaysettings.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisteriafork {

// Files for mutual authentication between nodes, in PEM format.
struct TlsSettings
{
    std::string certificateFile;
    std::string keyFile;
    std::string authorityFile;
};

// Settings of one node, read from a JSON file when the process starts.
struct Settings
{
    // Without TLS keys, which are read when the node starts.
    RelaySettings relay;
    // Empty only if the settings ask for plain text explicitly.
    std::optional<TlsSettings> tls;
    // Files that the deployment replaces whenever the configuration or the list of instances changes.
    std::string configurationFile;
    std::string instancesFile;
    LogOptions log;
    // Empty means the standard error stream.
    std::string logFile;
    // Administration API; none without the section `administration`.
    std::optional<AdminOptions> administration;
};

// Reads settings from a text. File names in it are relative to `directory`. Collects all findings; never throws.
ValueOrFindings<Settings> parseSettings(std::string_view text, const std::string &directory);

} // namespace wisteriafork
