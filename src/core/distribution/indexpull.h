#pragma once

#include "core/distribution/valuefamily.h"
#include "core/distribution/versionstamp.h"

#include <tuple>

namespace wisteriafork {

// Asks for the changes of an index since the stamp that the sender has.
struct IndexPull
{
    ValueFamily family = ValueFamily::Configuration;
    VersionStamp have;

    auto fields()
    {
        return std::tie(family, have);
    }
    auto fields() const
    {
        return std::tie(family, have);
    }
};

} // namespace wisteriafork
