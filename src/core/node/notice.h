#pragma once

#include "core/base/clock.h"
#include "core/base/finding.h"
#include "core/base/ids.h"
#include "core/membership/memberstate.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wisteriafork {

// A configuration came in force; `from` is the node or service that its index came from.
struct ConfigurationNotice
{
    std::uint64_t version = 0;
    std::string from;
};

// A published value is not taken.
struct HeldBackNotice
{
    std::uint64_t version = 0;
    // Version that stays in force.
    std::uint64_t inForce = 0;
    std::vector<Finding> findings;
};

// This process was paused.
struct PauseNotice
{
    Duration length{0};
};

// What this node believes of a member changed.
struct MemberStateNotice
{
    NodeId member;
    Incarnation incarnation = 0;
    DomainId domain;
    MemberState state = MemberState::Live;
};

// No member of a failure domain answers any more, or one answers again.
struct DomainNotice
{
    DomainId domain;
    bool silent = false;
};

// Something that operators find in the log, beside the decisions on calls.
using Notice = std::variant<ConfigurationNotice, HeldBackNotice, PauseNotice, MemberStateNotice, DomainNotice>;

} // namespace wisteriafork
