#pragma once

#include "core/crashguard/crashmessages.h"
#include "core/distribution/distributionoutput.h"
#include "core/membership/membershipoutput.h"
#include "core/ownership/ownershipmessage.h"

#include <variant>

namespace wisteriafork {

// Control messages between nodes, by component. Each message is an aggregate with `fields()` members that return `std::tie` of its members
// in wire order; the codec encodes the index of the alternative and the fields. New alternatives are appended, never inserted.
using PeerMessage = std::variant<std::monostate, MembershipMessage, DistributionMessage, OwnershipMessage, CrashSuspects>;

} // namespace wisteriafork
