#pragma once

#include "core/distribution/distributionoutput.h"
#include "core/membership/membershipoutput.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace wisteriafork {

// Sent and received control traffic of a node.
struct SimTraffic
{
    static constexpr std::size_t MembershipKinds = std::variant_size_v<MembershipMessage>;
    static constexpr std::size_t Kinds = MembershipKinds + std::variant_size_v<DistributionMessage>;
    // In the order of the alternatives of the two message types.
    static constexpr std::array<const char *, Kinds> KindNames{"probe",         "probe reply",   "member gossip", "version digest",
                                                               "index pull",    "index delta",   "value pull",    "value reply",
                                                               "in-force pull", "in-force reply"};

    static std::size_t kindOf(const MembershipMessage &message)
    {
        return message.index();
    }
    static std::size_t kindOf(const DistributionMessage &message)
    {
        return MembershipKinds + message.index();
    }

    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    // Sent and received.
    std::array<std::uint64_t, Kinds> bytesOfKind{};
};

} // namespace wisteriafork
