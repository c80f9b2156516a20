#pragma once

#include <string>
#include <utility>
#include <vector>

namespace wisteriafork {

// A complete request to the administration API.
struct AdminRequest
{
    std::string method;
    // Path and query as sent.
    std::string target;
    // Value of the `Authorization` header; empty if there is none.
    std::string authorization = {};
    std::string body = {};
};

// A response of the administration API.
struct AdminResponse
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body = {};
    // Further headers: name and value.
    std::vector<std::pair<std::string, std::string>> headers = {};
    // Name of the accepted token, for the log; empty if there was none.
    std::string tokenName = {};
    // Error code in the body, for the log; empty if the request was served.
    std::string errorCode = {};
};

} // namespace wisteriafork
