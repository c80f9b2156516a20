#pragma once

#include "lab/asio.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork::lab {

// An operation that callers request.
struct LoadOperation
{
    // Name in the report, for example "booking".
    std::string name;
    std::string method;
    std::string path;
    // Share of this operation among all requests, relative to the weights of the others.
    double weight = 1.0;
};

// Time span with a constant rate of new requests.
struct LoadPhase
{
    std::chrono::seconds duration{0};
    // New requests; resends are not counted.
    double requestsPerSecond = 0;
};

struct LoadOptions
{
    // The first attempt of a request goes to a random target, each further one to the next in this order.
    std::vector<boost::asio::ip::tcp::endpoint> targets;
    std::vector<LoadOperation> operations;
    std::vector<LoadPhase> phases;
    // How long a caller waits for a response before it closes the connection and resends the request.
    std::chrono::milliseconds attemptTimeout{2000};
    // How long after the first attempt a caller may still resend the request.
    std::chrono::milliseconds resendDuration{10000};
    // Time between a failed attempt and the next one. It stands for the round trip of the client, which does not back off.
    std::chrono::milliseconds resendDelay{20};
    std::uint64_t seed = 1;
    // Prints a line to stderr for each second of the run.
    bool showProgress = true;
};

} // namespace wisteriafork::lab
