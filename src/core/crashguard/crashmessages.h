#pragma once

#include "core/base/clock.h"
#include "core/base/requestkey.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace wisteriafork {

// What is known of a fingerprint that was in flight when a backend server crashed.
enum class SuspectState : std::uint8_t {
    // In flight at one crash; runs alone.
    Suspected = 0,
    // In flight at a second crash; refused everywhere.
    Banned = 1,
    // Completed a run after the crash.
    Cleared = 2,
};

struct SuspectReport
{
    RequestKey fingerprint;
    SuspectState state = SuspectState::Suspected;
    // Identifies the crashes at which the fingerprint was in flight, so that one crash reported twice counts once.
    std::vector<std::uint64_t> crashes;
    // Time since the last change of state, at the sending of the message.
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

// Suspects of a service, sent to the other members of the service.
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
