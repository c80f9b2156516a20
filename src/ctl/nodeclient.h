#pragma once

#include <chrono>
#include <string>

#include <tl/expected.hpp>

namespace wisteriafork {

struct NodeAnswer
{
    unsigned status = 0;
    std::string body;
};

struct NodeClientOptions
{
    // "http://127.0.0.1:7300" or "https://10.0.0.7:7300", without path.
    std::string url;
    std::string token;
    // Certificate authority for https in PEM form; empty means that of the system.
    std::string caFile;
    // For the whole request.
    std::chrono::milliseconds timeout{10'000};
};

// Sends one request and waits for its answer. The server's certificate must be valid for the host or IP address of the URL. The error is a
// text for people.
tl::expected<NodeAnswer, std::string> sendNodeRequest(const NodeClientOptions &options, const std::string &method,
                                                      const std::string &target, const std::string &body = {});

} // namespace wisteriafork
