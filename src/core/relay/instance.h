#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <cstdint>
#include <string>

namespace wisteriafork {

// An instance of a service: its backend server and the node beside it, as the instance list of the platform describes them.
struct Instance
{
    // Changes with almost every start of the backend server.
    std::string id;
    ServiceId service;
    // Address of the backend server, reachable only from its own host.
    std::string address;
    // Address at which the node beside the backend server accepts calls of other nodes.
    std::string peerAddress;
    DomainId domain;
    // Requests that the backend server can run at the same time.
    unsigned slots = 1;
    // Increases with each new entry of the list. Of two instances at one address, the one with the higher revision is current.
    std::uint64_t listRevision = 0;
    // The instance shuts down and accepts no new requests.
    bool draining = false;
    // End of the warm-up after a start, during which the backend server is slow.
    TimePoint coldUntil{};
};

} // namespace wisteriafork
