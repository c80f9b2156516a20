#pragma once

#include "core/ownership/handedrecord.h"
#include "core/ownership/memberid.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace wisteriafork {

// The sender acts for no new key any more and hands over all its records. Sent once when a planned stop begins, so that nothing has to
// wait, and again when the last run has ended.
struct Release
{
    MemberId sender;
    // Numbered from 1; a receiver ignores one that is older than the last.
    std::uint64_t sequence = 0;
    std::vector<HandedRecord> records;

    auto fields()
    {
        return std::tie(sender, sequence, records);
    }
    auto fields() const
    {
        return std::tie(sender, sequence, records);
    }
};

struct ReleaseAcknowledged
{
    MemberId sender;
    MemberId owner;
    std::uint64_t sequence = 0;

    auto fields()
    {
        return std::tie(sender, owner, sequence);
    }
    auto fields() const
    {
        return std::tie(sender, owner, sequence);
    }
};

} // namespace wisteriafork
