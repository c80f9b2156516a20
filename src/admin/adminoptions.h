#pragma once

#include "admin/accesstoken.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

// Files for TLS in PEM form. The certificate file holds the whole chain.
struct AdminTls
{
    std::string certificateFile;
    std::string keyFile;
};

// Settings of the administration listener.
struct AdminOptions
{
    // IP address. Other than loopback addresses are refused unless `allowRemote` is set, which also requires TLS.
    std::string address = "127.0.0.1";
    // 0 lets the system choose; `AdminServer::port` tells which.
    std::uint16_t port = 0;
    bool allowRemote = false;
    // Empty file names mean plain HTTP.
    AdminTls tls;
    // At least one.
    std::vector<AccessToken> tokens;
    // Bounds against clients that send too much or too slowly.
    std::size_t maximumBodyBytes = 1'000'000;
    std::size_t maximumHeaderBytes = 16'384;
    std::size_t maximumConnections = 64;
    std::chrono::milliseconds requestTimeout{10'000};
    // How often changed key files are looked for.
    std::chrono::milliseconds keyCheckInterval{10'000};
};

} // namespace wisteriafork
