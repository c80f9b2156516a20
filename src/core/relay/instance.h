#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <cstdint>
#include <string>

namespace wisteriafork {

// A backend server as the platform's list describes it.
struct Instance
{
    // New with almost every start of the backend server.
    std::string id;
    ServiceId service;
    // Address of the backend server, which only its own host can reach.
    std::string address;
    // Address at which the node beside it takes calls of other nodes.
    std::string peerAddress;
    DomainId domain;
    // Requests that it runs at the same time.
    unsigned slots = 1;
    // Grows with each new entry of the list; of two instances at one address the one with the greater number is there now.
    std::uint64_t listRevision = 0;
    // It leaves and takes no new work.
    bool draining = false;
    // Until then it is slow after its start.
    TimePoint coldUntil{};
};

} // namespace wisteriafork
