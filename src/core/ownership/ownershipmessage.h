#pragma once

#include "core/ownership/claimmessages.h"
#include "core/ownership/copymessages.h"
#include "core/ownership/fencemessages.h"
#include "core/ownership/joinmessages.h"
#include "core/ownership/releasemessages.h"

#include <variant>

namespace wisteriafork {

// Control messages of the at-most-once protocol. All of them may be lost, delayed, duplicated and reordered.
using OwnershipMessage
    = std::variant<OwnershipProbe, Join, JoinAcknowledged, JoinRefused, JoinCommitted, JoinCommittedAcknowledged, Claim, ClaimAcknowledged,
                   ClaimRefused, Fence, FenceAcknowledged, FenceRefused, Release, ReleaseAcknowledged, CopyCheck, CopyChecked>;

} // namespace wisteriafork
