#pragma once

#include <cstdint>

namespace wisteriafork {

// Why a call on the local backend server gave no answer.
enum class ServerFailure : std::uint8_t {
    // No connection could be made; the call was certainly not run.
    ConnectionRefused,
    // The backend server answered that it does not run the call now (503 or 429); it was not run.
    Overloaded,
    // The connection broke after the request was sent; the call may have run.
    ConnectionBroken,
    // No answer before the deadline; the call may have run.
    TimedOut,
};

} // namespace wisteriafork
