#pragma once

#include <cstdint>

namespace wisteriafork::lab {

// Why a request of the lab tool got no response.
enum class HttpError : std::uint8_t {
    ConnectionRefused,
    ConnectionBroken,
    TimedOut,
};

} // namespace wisteriafork::lab
