#pragma once

#include "core/distribution/indexentry.h"
#include "core/distribution/valuefamily.h"
#include "core/distribution/versionstamp.h"

#include <string>
#include <tuple>
#include <vector>

namespace wisteriafork {

// Changes of an index from one stamp to another. `from` is zero for a whole index. The receiver applies it only if it has `from` and the
// result has the hash of `to`.
struct IndexDelta
{
    ValueFamily family = ValueFamily::Configuration;
    VersionStamp from;
    VersionStamp to;
    std::vector<IndexEntry> changed;
    std::vector<ServiceId> removed;
    // Address of the sender's peer listener, for a receiver that does not have `from`.
    std::string replyTo;

    auto fields()
    {
        return std::tie(family, from, to, changed, removed, replyTo);
    }
    auto fields() const
    {
        return std::tie(family, from, to, changed, removed, replyTo);
    }
};

} // namespace wisteriafork
