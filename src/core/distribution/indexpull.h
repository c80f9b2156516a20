#pragma once

#include "core/distribution/valuefamily.h"
#include "core/distribution/versionstamp.h"

#include <string>
#include <tuple>

namespace wisteriafork {

// Asks for the changes of an index since the stamp that the sender has.
struct IndexPull
{
    ValueFamily family = ValueFamily::Configuration;
    VersionStamp have;
    // Address of the sender's peer listener, for the answer.
    std::string replyTo;

    auto fields()
    {
        return std::tie(family, have, replyTo);
    }
    auto fields() const
    {
        return std::tie(family, have, replyTo);
    }
};

} // namespace wisteriafork
