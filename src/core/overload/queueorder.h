#pragma once

#include <cstdint>

namespace wisteriafork {

// Order of waiting calls of the same class, tenant and fairness round.
enum class QueueOrder : std::uint8_t {
    Fifo,
    Lifo,
    // Earliest deadline first.
    Deadline,
};

} // namespace wisteriafork
