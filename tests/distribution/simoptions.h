#pragma once

#include "core/distribution/distributionoptions.h"
#include "core/membership/membershipoptions.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wisteriafork {

// A fleet and its network.
struct SimOptions
{
    std::size_t services = 2;
    std::size_t instances = 4;
    std::size_t domains = 2;
    // Services that each service calls: the next ones.
    std::size_t calls = 1;
    std::size_t sliceBytes = 200;
    std::size_t seeds = 2;
    Duration localDelay = std::chrono::milliseconds(1);
    Duration remoteDelay = std::chrono::milliseconds(5);
    // Greatest random addition to the delay; reorders messages.
    Duration jitter = std::chrono::milliseconds(2);
    double loss = 0;
    // Share of value replies that arrive damaged.
    double damage = 0;
    // Reads that the configuration service answers in each second; it refuses the others.
    std::uint64_t serviceReads = 2000;
    std::uint64_t seed = 1;
    MembershipOptions membership{};
    DistributionOptions distribution{};
};

} // namespace wisteriafork
