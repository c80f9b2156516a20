#pragma once

#include "core/base/ids.h"

#include <cstdint>
#include <string>

namespace wisteriafork {

// Kinds of decisions; each has a number in the event catalogue.
enum class DecisionKind : std::uint8_t {
    Admitted,
    Queued,
    Refused,
    RunLocally,
    Forwarded,
    Retried,
    ReplayedStoredAnswer,
    JoinedRunningAttempt,
    Cancelled,
};

// One decision on a call, for the log.
struct Decision
{
    DecisionKind kind = DecisionKind::Admitted;
    std::string requestId;
    ServiceId service;
    // Chosen node; empty if none.
    NodeId node;
    // Short reason in plain words, for example "same failure domain, lowest load".
    std::string reason;
};

} // namespace wisteriafork
