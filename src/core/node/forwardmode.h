#pragma once

#include <cstdint>

namespace wisteriafork {

// What a node asks of the node to which it forwards a call.
enum class ForwardMode : std::uint8_t {
    // Run the call on your backend server. Used for idempotent operations.
    Serve = 0,
    // Decide as the owner of the request key, and run the call if you may.
    Own = 1,
    // Run the call on your backend server on behalf of the owner that sends this; the owner has the key on record.
    Execute = 2,
};

} // namespace wisteriafork
