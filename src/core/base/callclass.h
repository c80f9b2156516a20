#pragma once

#include <cstdint>

namespace wisteriafork {

// Importance of a call under overload, in the order in which calls are shed: bulk first, critical last.
enum class CallClass : std::uint8_t {
    Bulk = 0,
    Read = 1,
    Critical = 2,
};

} // namespace wisteriafork
