#pragma once

#include "core/distribution/readerbeacon.h"
#include "core/distribution/versionstamp.h"
#include "core/membership/introduction.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace wisteriafork {

// What a node has; exchanged at a fixed interval, and by a starting node with each of its peers.
struct VersionDigest
{
    Introduction sender;
    VersionStamp configuration;
    VersionStamp hosts;
    // Configuration in force at the sender; older than `configuration` while that one is incomplete or held back.
    VersionStamp inForce;
    // Number of a question; the receiver sends its digest with the same number in `answers`. 0 asks nothing: the receiver then answers only
    // if it has something newer, with `answers` set to 1.
    std::uint64_t question = 0;
    std::uint64_t answers = 0;
    // Best readers known for the sender's failure domain.
    std::vector<ReaderBeacon> readers;

    auto fields()
    {
        return std::tie(sender, configuration, hosts, inForce, question, answers, readers);
    }
    auto fields() const
    {
        return std::tie(sender, configuration, hosts, inForce, question, answers, readers);
    }
};

} // namespace wisteriafork
