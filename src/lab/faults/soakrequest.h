#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace wisteriafork::lab {

// A request that a client of the soak sent, and what it got. Each has an id of its own.
struct SoakRequest
{
    std::string id;
    std::string method;
    std::string target;
    std::uint64_t bodyHash = 0;
    // Whether the last byte was written.
    bool sentWhole = false;
    // The client closed the connection before it had waited for the whole deadline.
    bool abandoned = false;
    // The connection ended without a complete response, while the client was waiting for it.
    bool connectionEnded = false;
    // The connection ended without a reset: whoever closed it had read the whole request.
    bool endedInOrder = false;
    // Time from the last byte of the request to the end of its connection or its response.
    std::chrono::milliseconds waited{0};
    // No complete response arrived within the deadline and some slack.
    bool timedOut = false;
    // Status of the complete response; 0 if there was none.
    unsigned status = 0;
    // What is wrong with the response; empty if nothing is.
    std::string fault;
};

} // namespace wisteriafork::lab
