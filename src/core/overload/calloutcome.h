#pragma once

#include <cstdint>

namespace wisteriafork {

// How a call that ran on the local backend server ended.
enum class CallOutcome : std::uint8_t {
    Completed,
    // The backend server answered that it does not run the call now (503 or 429), or refused the connection.
    Overloaded,
    // The connection broke, or a call below failed. Its time says nothing about the backend server.
    Failed,
    TimedOut,
    Cancelled,
};

} // namespace wisteriafork
