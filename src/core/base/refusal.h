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
    // The request carries no key of a workspace.
    UnknownKey,
    // The node has no recent proof that its configuration is the newest, so that a key may have been withdrawn.
    StaleConfiguration,
    // The workspace has used up its quota.
    OverQuota,
};

} // namespace wisteriafork
