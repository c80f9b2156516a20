#pragma once

#include <chrono>
#include <string>

#include <tl/expected.hpp>

namespace wisteriafork {

// HTTP response of the administration API.
struct NodeResponse
{
    // HTTP status code.
    unsigned status = 0;
    std::string body;
};

// Address of an administration API and the credentials for it.
struct NodeClientOptions
{
    // URL without path, for example "http://127.0.0.1:7300" or "https://10.0.0.7:7300".
    std::string url;
    // Bearer token; empty to send none.
    std::string token;
    // File with the certificate authority for https, in PEM format; empty for the certificate authorities of the system.
    std::string caFile;
    // Bounds the time from the start of the connection attempt to the end of the response. Name resolution before it is not bounded.
    std::chrono::milliseconds timeout{10'000};
};

// Sends one request to the administration API of a node and waits for the response. The certificate of the node must be valid for the host
// name or IP address in the URL. Returns a response of any status; an error is a message for the user and means that there is no response.
tl::expected<NodeResponse, std::string> sendNodeRequest(const NodeClientOptions &options, const std::string &method,
                                                        const std::string &target, const std::string &body = {});

} // namespace wisteriafork
