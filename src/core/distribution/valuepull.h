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
    // Address of the sender's peer listener, for the answer.
    std::string replyTo;

    auto fields()
    {
        return std::tie(family, wanted, replyTo);
    }
    auto fields() const
    {
        return std::tie(family, wanted, replyTo);
    }
};

// Answer to `ValuePull`, with the version and the hash of the text. An empty text says that the sender does not have the value, or may not
// send it now.
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
