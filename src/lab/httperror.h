#pragma once

#include <cstdint>

namespace wisteriafork::lab {

// Why a request of the experiment tool got no answer.
enum class HttpError : std::uint8_t {
    ConnectionRefused,
    ConnectionBroken,
    TimedOut,
};

} // namespace wisteriafork::lab
