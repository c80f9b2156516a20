#pragma once

#include "admin/adminoptions.h"
#include "core/base/hostlist.h"
#include "core/base/memberinfo.h"
#include "core/config/configuration.h"
#include "core/config/findings.h"
#include "net/endpoint.h"
#include "net/httplimits.h"
#include "observability/eventlog.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriafork {

struct ServerSettings
{
    Tcp::endpoint address;
    std::size_t connections = 64;
    std::chrono::milliseconds connectTimeout{1000};
    // Unused connections are closed after this time; must be shorter than the keep-alive time of the backend server.
    std::chrono::milliseconds idleTimeout{4000};
    // Path of the load endpoint, which answers {"running": n, "slots": n}; empty if there is none.
    std::string loadPath;
    std::chrono::milliseconds loadInterval{1000};
};

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
    NodeId name;
    ServiceId service;
    DomainId domain;
    // Zero means the time of the start in milliseconds.
    Incarnation incarnation = 0;
    Tcp::endpoint callers;
    Tcp::endpoint local;
    Tcp::endpoint peers;
    ServerSettings server;
    std::optional<Tcp::endpoint> platform;
    // Empty only if the settings ask for plain text explicitly.
    std::optional<TlsSettings> tls;
    HttpLimits limits;
    // Threads that serve connections. One thread carries more calls than two in the benchmark, because calls then never change threads.
    unsigned workers = 1;
    // A planned stop goes on accepting requests for this time, while other nodes learn that this one is leaving.
    std::chrono::milliseconds drainGrace{2000};
    // A planned stop is broken off after this time.
    std::chrono::milliseconds drainBound{30000};
    LogOptions log;
    // Empty means the standard error stream.
    std::string logFile;
    // Administration API; none without the section `administration`.
    std::optional<AdminOptions> administration;
    // Services whose configuration and instances the node keeps from the start, beside its own and those that it calls.
    std::vector<ServiceId> services;
    // Peer addresses of nodes to ask at the start, while no host list is known.
    std::vector<std::string> seeds;
    // Configuration and host lists that are in force from the start, for fixed set-ups without a configuration service.
    std::optional<Configuration> configuration;
    std::vector<HostList> hosts;
};

// Reads settings from a text. File names in it are relative to `directory`. Collects all findings; never throws.
Checked<Settings> parseSettings(std::string_view text, const std::string &directory);

} // namespace wisteriafork
