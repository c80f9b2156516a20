#pragma once

#include "net/httplimits.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace wisteriafork {

class TlsContext;

// Settings of the sessions between nodes.
struct PeerOptions
{
    HttpLimits limits;
    std::chrono::milliseconds connectTimeout{1000};
    // After a failed connection attempt, requests to that peer fail at once for this time.
    std::chrono::milliseconds reconnectBackoff{100};
    // A session without streams is closed after this time.
    std::chrono::milliseconds idleTimeout{60000};
    // A session with open streams on which nothing was received for this time is pinged, and closed after the same time without an answer.
    std::chrono::milliseconds pingInterval{5000};
    // Streams that one peer may have open at the same time.
    std::uint32_t maxConcurrentStreams = 4096;
    // Request bytes that one session may hold; further streams are refused.
    std::size_t maxBufferedBytes = std::size_t{64} * 1024 * 1024;
    // Header fields whose values never repeat; they are kept out of the header compression.
    std::vector<std::string> unindexedFields;
    // Mutual authentication; null means plain text.
    std::shared_ptr<const TlsContext> tls;
};

} // namespace wisteriafork
