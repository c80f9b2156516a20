#pragma once

#include "core/ownership/joinmessages.h"
#include "core/ownership/ownershipmessage.h"

#include <vector>

namespace wisteriafork {

// A message on its way to a member.
struct Outgoing
{
    MemberAddress to;
    OwnershipMessage message;
};

using OutgoingMessages = std::vector<Outgoing>;

} // namespace wisteriafork
