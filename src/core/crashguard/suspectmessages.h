#pragma once

#include "core/base/requestkey.h"
#include "core/crashguard/crashmessages.h"

#include <cstdint>
#include <tuple>

namespace wisteriafork {

// Question of one node to another, which suspects it knows.
struct SuspectQuestion
{
    // Digest of all that the asking node knows; 0 if it knows nothing.
    std::uint64_t digest = 0;
    // Whether only fingerprints after `pageStart` are asked for: an earlier answer ended there.
    bool isContinued = false;
    RequestKey pageStart;

    auto fields()
    {
        return std::tie(digest, isContinued, pageStart);
    }
    auto fields() const
    {
        return std::tie(digest, isContinued, pageStart);
    }
};

// Answer to a `SuspectQuestion`. Without reports if both nodes know the same.
struct SuspectAnswer
{
    // Digest of all that the answering node knows.
    std::uint64_t digest = 0;
    // What it knows, in the order of the fingerprints.
    CrashSuspects known;
    // Whether there is more after the last fingerprint in `known`.
    bool hasMore = false;

    auto fields()
    {
        return std::tie(digest, known, hasMore);
    }
    auto fields() const
    {
        return std::tie(digest, known, hasMore);
    }
};

} // namespace wisteriafork
