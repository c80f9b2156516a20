#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

// Whether a request of a route may be executed more than once.
enum class RequestKind : std::uint8_t {
    // May be executed more than once.
    Idempotent,
    // Is executed at most once for each attempt of a caller.
    NonIdempotent,
};

// A service to which a share of the requests of a route is sent.
struct WeightedService
{
    ServiceId service;
    // Weight relative to the other services of the route, greater than zero.
    double weight = 1.0;

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

// Routing rule for the requests of one host name, method and path prefix: the services they go to, time limits and priority.
struct Route
{
    std::string name;
    // Host name without port; empty matches any host.
    std::string host;
    // HTTP method; empty matches any method.
    std::string method;
    // Path prefix. It begins with a slash and matches whole path segments.
    std::string prefix;
    RequestKind kind = RequestKind::NonIdempotent;
    // At least one service; the weights matter only if there are several.
    std::vector<WeightedService> services;
    // Maximum time until a caller gets a response.
    Duration timeout{0};
    // Time within which a response has its full value for the caller.
    Duration targetLatency{0};
    // Maximum number of instances to which one attempt of a caller is sent.
    unsigned maxAttempts = 1;
    // Load shedding priority; 0 is the most urgent and is shed last.
    unsigned priority = 0;
    // Callers need no access key.
    bool isPublic = false;

    friend bool operator==(const Route &, const Route &) = default;
};

} // namespace wisteriafork
