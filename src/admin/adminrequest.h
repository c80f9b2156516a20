#pragma once

#include <string>
#include <utility>
#include <vector>

namespace wisteriafork {

// A complete request to the administration API.
struct AdminRequest
{
    std::string method;
    // Path with query.
    std::string target;
    // Value of the `Authorization` header; empty if there is none.
    std::string authorization = {};
    std::string body = {};
};

struct AdminResponse
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body = {};
    std::vector<std::pair<std::string, std::string>> headers = {};
    // Name of the token, for the log; empty if none was accepted.
    std::string tokenName = {};
    // Code of the error, for the log; empty if the request was served.
    std::string errorCode = {};
};

} // namespace wisteriafork
