#pragma once

#include "core/membership/membergossip.h"
#include "core/membership/memberstate.h"
#include "core/membership/probe.h"

#include <cstdint>
#include <string>
#include <variant>

namespace wisteriafork {

using MembershipMessage = std::variant<Probe, ProbeReply, MemberGossip>;

struct SendMembershipMessage
{
    // Empty while only the address of a seed is known.
    NodeId to;
    std::string address;
    MembershipMessage message;
};

// The state of a known member changed. A higher incarnation is reported as a change from `Gone` to its first state.
struct MemberStateChanged
{
    NodeId name;
    Incarnation incarnation = 0;
    MemberState from = MemberState::Gone;
    MemberState to = MemberState::Live;
};

// This process was paused; its view is not fresh until `ViewRefreshed`.
struct PauseDetected
{
    Duration length{0};
};

struct ViewRefreshed
{
};

// A failure domain fell silent or is heard again.
struct DomainSilenceChanged
{
    DomainId domain;
    bool silent = false;
};

using MembershipOutput = std::variant<SendMembershipMessage, MemberStateChanged, PauseDetected, ViewRefreshed, DomainSilenceChanged>;

} // namespace wisteriafork
