#pragma once

#include <cstdint>

namespace wisteriafork {

// Importance of a call. Under overload calls are shed in the order of the enumerators: bulk first, critical last.
enum class CallClass : std::uint8_t {
    Bulk = 0,
    Read = 1,
    Critical = 2,
};

} // namespace wisteriafork
