#pragma once

#include "net/httplimits.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace wisteriafork {

class TlsContext;

// Options of the sessions between nodes, for both sides.
struct PeerOptions
{
    HttpLimits limits;
    // Time to establish a connection, including the TLS handshake.
    std::chrono::milliseconds connectTimeout{1000};
    // Time after a failed connection attempt during which requests to that peer fail at once with `NotProcessed`.
    std::chrono::milliseconds reconnectBackoff{100};
    // A session without open streams on which nothing was received for this time is closed.
    std::chrono::milliseconds idleTimeout{60000};
    // A session with open streams on which nothing was received for this time is pinged. It is closed if nothing is received for the same
    // time after the ping.
    std::chrono::milliseconds pingInterval{5000};
    // Streams that one peer may have open at the same time.
    std::uint32_t maxConcurrentStreams = 4096;
    // Body bytes of incomplete messages that one session may buffer; a stream that exceeds the limit is refused.
    std::size_t maxBufferedBytes = std::size_t{64} * 1024 * 1024;
    // Names of header fields whose values never repeat; they are not added to the table of the header compression.
    std::vector<std::string> unindexedFields;
    // Keys for mutual authentication with TLS; null for plain TCP.
    std::shared_ptr<const TlsContext> tls;
};

} // namespace wisteriafork
