#pragma once

#include <cstdint>

namespace wisteriafork {

// Why a forwarded call gave neither an answer nor a refusal.
enum class PeerFailure : std::uint8_t {
    // Nothing of the call was sent; it was certainly not run.
    NotSent,
    // The stream broke after the call was sent; it may have run.
    Broken,
    // No answer before the deadline; it may have run.
    TimedOut,
};

} // namespace wisteriafork
