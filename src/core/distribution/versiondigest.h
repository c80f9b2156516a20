#pragma once

#include "core/distribution/readerbeacon.h"
#include "core/distribution/versionstamp.h"
#include "core/membership/introduction.h"

#include <tuple>
#include <vector>

namespace wisteriafork {

// What a node has; exchanged at a fixed interval, and by a starting node with each of its peers.
struct VersionDigest
{
    Introduction sender;
    VersionStamp configuration;
    VersionStamp hosts;
    // Asks for the receiver's digest. Without it the receiver answers only if it has something newer.
    bool wantsReply = false;
    // Best readers known for the sender's failure domain.
    std::vector<ReaderBeacon> readers;

    auto fields()
    {
        return std::tie(sender, configuration, hosts, wantsReply, readers);
    }
    auto fields() const
    {
        return std::tie(sender, configuration, hosts, wantsReply, readers);
    }
};

} // namespace wisteriafork
