#pragma once

#include "core/base/memberinfo.h"

namespace wisteriafork {

// An instance that a call may be sent to, as the membership sees it. Refers to the entry of the host list for the time of a call only.
struct RouteCandidate
{
    const MemberInfo &member;
    bool suspected = false;
    // Listed as leaving, or said so itself.
    bool leaving = false;
};

} // namespace wisteriafork
