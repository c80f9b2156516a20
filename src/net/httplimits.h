#pragma once

#include "net/bufferbudget.h"
#include "net/connectionledger.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace wisteriafork {

// Limits on the memory and time that one HTTP connection may use.
struct HttpLimits
{
    // Size of the request line and header fields; a larger request gets the status 431.
    std::size_t headerBytes = std::size_t{32} * 1024;
    // Size of the body of a request; a larger one gets the status 413.
    std::size_t requestBodyBytes = std::size_t{1024} * 1024;
    // Size of the body of a response, which is buffered before it is relayed; a larger one ends with `ExchangeError::ResponseTooLarge`.
    std::size_t responseBodyBytes = std::size_t{8} * 1024 * 1024;
    // Time from the first byte of a request to its last; a slower request gets the status 408.
    std::chrono::milliseconds requestTimeout{10000};
    // Time after which an idle connection is closed.
    std::chrono::milliseconds idleTimeout{75000};
    // Time to write a response; the connection is closed if the reader is slower.
    std::chrono::milliseconds writeTimeout{30000};
    // Open connections of one listener; further ones are closed at once.
    std::size_t connections = 4096;
    // Bounds the bytes of all messages that are buffered together. A request waits unread until there is room, a response that does not fit
    // is cut off. Null for no common bound.
    std::shared_ptr<BufferBudget> bufferBudget;
    // Bounds the connections of several listeners together. Null for no common bound.
    std::shared_ptr<ConnectionLedger> connectionLedger = nullptr;
};

} // namespace wisteriafork
