#pragma once

#include "core/distribution/indexentry.h"
#include "core/distribution/valuefamily.h"

#include <string>
#include <tuple>

namespace wisteriafork {

// Asks for a value that the index of the sender names.
struct ValuePull
{
    ValueFamily family = ValueFamily::Configuration;
    IndexEntry wanted;

    auto fields()
    {
        return std::tie(family, wanted);
    }
    auto fields() const
    {
        return std::tie(family, wanted);
    }
};

// Answer to `ValuePull`. An empty text says that the sender does not have the value, or may not send it now.
struct ValueReply
{
    ValueFamily family = ValueFamily::Configuration;
    IndexEntry value;
    std::string text;

    auto fields()
    {
        return std::tie(family, value, text);
    }
    auto fields() const
    {
        return std::tie(family, value, text);
    }
};

} // namespace wisteriafork
