#pragma once

#include "core/base/clock.h"
#include "core/base/requestkey.h"
#include "core/ownership/memberid.h"

#include <optional>
#include <tuple>

namespace wisteriafork {

// Asks the node that forwarded a call how long ago the youngest copy of the request reached it. Sent for keys that were refused as
// `not-run`, because a copy that was sent before the refusal must not run after it.
struct CopyCheck
{
    NodeId owner;
    RequestKey key;
    // Call id at the owner, returned in the answer.
    CallId call = 0;

    auto fields()
    {
        return std::tie(owner, key, call);
    }
    auto fields() const
    {
        return std::tie(owner, key, call);
    }
};

struct CopyChecked
{
    RequestKey key;
    CallId call = 0;
    // Empty if the node has no open call with the key.
    std::optional<Duration> youngestAge;

    auto fields()
    {
        return std::tie(key, call, youngestAge);
    }
    auto fields() const
    {
        return std::tie(key, call, youngestAge);
    }
};

} // namespace wisteriafork
