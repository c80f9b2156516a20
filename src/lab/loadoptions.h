#pragma once

#include "lab/asio.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork::lab {

// One kind of request that callers send.
struct LoadOperation
{
    // Name in the report, for example "booking".
    std::string name;
    std::string method;
    std::string path;
    // Share of this kind among all requests, relative to the other kinds.
    double weight = 1.0;
};

// Time span with a constant rate of new requests.
struct LoadPhase
{
    std::chrono::seconds duration{0};
    // New requests per second.
    double rate = 0;
};

struct LoadOptions
{
    std::vector<boost::asio::ip::tcp::endpoint> targets;
    std::vector<LoadOperation> operations;
    std::vector<LoadPhase> phases;
    // How long a caller waits for one answer before it closes the connection and sends again.
    std::chrono::milliseconds wait{2000};
    // How long a caller goes on sending again after its first try.
    std::chrono::milliseconds resendTime{10000};
    // Time between a refusal and the next try: the round trip of a client, not a pause by choice.
    std::chrono::milliseconds resendGap{20};
    std::uint64_t seed = 1;
    // Writes a line of progress each second.
    bool progress = true;
};

} // namespace wisteriafork::lab
