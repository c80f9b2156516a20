#pragma once

#include "admin/accesstoken.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

// Names of the TLS files, which are in PEM form. The certificate file holds the whole certificate chain.
struct AdminTls
{
    std::string certificateFile;
    std::string keyFile;
};

// Settings of the administration listener.
struct AdminOptions
{
    // IP address to listen on. An address other than loopback is refused unless `allowRemote` is set, and needs TLS.
    std::string address = "127.0.0.1";
    // 0 lets the system choose a free port, which `AdminServer::port` returns.
    std::uint16_t port = 0;
    bool allowRemote = false;
    // Empty file names mean plain HTTP.
    AdminTls tls;
    // At least one is needed.
    std::vector<AccessToken> tokens;
    // The limits below guard against clients that send too much or too slowly.
    std::size_t maximumBodyBytes = 1'000'000;
    std::size_t maximumHeaderBytes = 16'384;
    std::size_t maximumConnections = 64;
    // Applies separately to the TLS handshake, to reading a request and to writing a response.
    std::chrono::milliseconds requestTimeout{10'000};
    // Interval between checks for changed key files.
    std::chrono::milliseconds keyCheckInterval{10'000};
};

} // namespace wisteriafork
