#pragma once

#include <chrono>
#include <cstddef>

namespace wisteriafork {

// Bounds on what one connection may make this process hold or wait for.
struct HttpLimits
{
    // Request line and header fields together; above it the answer is 431.
    std::size_t headerBytes = std::size_t{32} * 1024;
    // Body of a request; above it the answer is 413.
    std::size_t requestBodyBytes = std::size_t{1024} * 1024;
    // Body of an answer that is collected whole before it is relayed; a larger one gives an error.
    std::size_t responseBodyBytes = std::size_t{8} * 1024 * 1024;
    // Time from the first byte of a request to its last; above it the answer is 408.
    std::chrono::milliseconds requestTimeout{10000};
    // Time for which an unused connection stays open.
    std::chrono::milliseconds idleTimeout{75000};
    // Time for writing an answer to a slow reader.
    std::chrono::milliseconds writeTimeout{30000};
    // Connections of one listener; further ones are closed at once.
    std::size_t connections = 4096;
};

} // namespace wisteriafork
