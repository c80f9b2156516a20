#pragma once

#include "core/distribution/indexentry.h"
#include "core/distribution/versionstamp.h"

#include <string>
#include <tuple>
#include <vector>

namespace wisteriafork {

// Asks a member of the same service for the configuration that it has in force. Sent by a starting node that finds the newest version held
// back, since the older index is not published any more.
struct InForcePull
{
    std::string replyTo;

    auto fields()
    {
        return std::tie(replyTo);
    }
    auto fields() const
    {
        return std::tie(replyTo);
    }
};

// Answer to `InForcePull`: the stamp in force and the entries of the slices that the service needs.
struct InForceReply
{
    VersionStamp stamp;
    std::vector<IndexEntry> entries;

    auto fields()
    {
        return std::tie(stamp, entries);
    }
    auto fields() const
    {
        return std::tie(stamp, entries);
    }
};

} // namespace wisteriafork
