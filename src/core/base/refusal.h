#pragma once

#include <cstdint>

namespace wisteriafork {

// Why a request was refused. A refusal guarantees that this attempt of the request was not executed.
enum class RefusalReason : std::uint8_t {
    Overloaded,
    DeadlineTooShort,
    NoInstance,
    SuspectedOfCrash,
    Draining,
    NotConfigured,
};

} // namespace wisteriafork
