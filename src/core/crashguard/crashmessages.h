#pragma once

#include "core/base/clock.h"
#include "core/base/requestkey.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace wisteriafork {

// State of a fingerprint that was in flight when a backend server crashed.
enum class SuspectState : std::uint8_t {
    // In flight at one crash; its calls run one at a time.
    Suspected = 0,
    // In flight at a second crash; refused by each node that knows this state.
    Banned = 1,
    // Completed after the crash.
    Cleared = 2,
};

// State of one fingerprint, as one node reports it to the others.
struct SuspectReport
{
    RequestKey fingerprint;
    SuspectState state = SuspectState::Suspected;
    // Ids of the crashes at which the fingerprint was in flight. A crash that is reported twice counts once.
    std::vector<std::uint64_t> crashes;
    // Time from the last change of the state to the sending of the message.
    Duration age{0};

    auto fields()
    {
        return std::tie(fingerprint, state, crashes, age);
    }
    auto fields() const
    {
        return std::tie(fingerprint, state, crashes, age);
    }
};

// Message from one node to another with the suspects that the sender knows.
struct CrashSuspects
{
    std::vector<SuspectReport> suspects;

    auto fields()
    {
        return std::tie(suspects);
    }
    auto fields() const
    {
        return std::tie(suspects);
    }
};

} // namespace wisteriafork
