#pragma once

#include "core/base/clock.h"
#include "core/base/requestkey.h"
#include "core/ownership/memberid.h"

#include <cstdint>
#include <tuple>

namespace wisteriafork {

// What a member knows of a key that it hands to another member.
enum class HandedState : std::uint8_t {
    // The holder may be running the key or keeps its answer; resends are sent on to the holder.
    Held = 0,
    // The key may have run and no answer is kept.
    Unknown = 1,
    // The key was refused as `not-run`.
    Refused = 2,
};

// A record passed to another member. Ages and remaining times count from the sending of the message.
struct HandedRecord
{
    RequestKey key;
    HandedState state = HandedState::Unknown;
    Duration remaining{0};
    // For `Refused`: time since the refusal.
    Duration refusedFor{0};
    // For `Held`: the member that started the run.
    MemberId holder;

    auto fields()
    {
        return std::tie(key, state, remaining, refusedFor, holder);
    }
    auto fields() const
    {
        return std::tie(key, state, remaining, refusedFor, holder);
    }
};

} // namespace wisteriafork
