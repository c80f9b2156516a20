#pragma once

#include "core/membership/introduction.h"
#include "core/membership/membernotice.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace wisteriafork {

// Asks a member whether it runs. Carries recent notices.
struct Probe
{
    Introduction sender;
    std::uint64_t number = 0;
    std::vector<MemberNotice> notices;

    auto fields()
    {
        return std::tie(sender, number, notices);
    }
    auto fields() const
    {
        return std::tie(sender, number, notices);
    }
};

// Answer to a probe, with the number of the probe.
struct ProbeReply
{
    NodeId sender;
    Incarnation incarnation = 0;
    // The sender's own sequence and whether it is leaving.
    std::uint64_t sequence = 0;
    bool leaving = false;
    std::uint64_t number = 0;
    // Version of the `hosts` index that the sender has; lets a resumed node see whether its own view is old.
    std::uint64_t hostsVersion = 0;
    // A few members that the sender knows, so that nodes get to know members of services that they do not call.
    std::vector<Introduction> samples;
    std::vector<MemberNotice> notices;

    auto fields()
    {
        return std::tie(sender, incarnation, sequence, leaving, number, hostsVersion, samples, notices);
    }
    auto fields() const
    {
        return std::tie(sender, incarnation, sequence, leaving, number, hostsVersion, samples, notices);
    }
};

} // namespace wisteriafork
