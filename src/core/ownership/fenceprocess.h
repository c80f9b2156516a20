#pragma once

#include "core/base/clock.h"
#include "core/ownership/outgoing.h"
#include "core/ownership/ownershipoptions.h"
#include "core/ownership/ownerview.h"
#include "core/ownership/resendtimer.h"

#include <map>

namespace wisteriafork {

// Excludes one incarnation of another member by asking all witnesses of all terms that it may use.
class FenceProcess
{
public:
    FenceProcess(const OwnershipOptions &options, const MemberId &target, TimePoint now);

    // Witnesses of the target that have not acknowledged yet.
    std::vector<MemberId> missing(const OwnerEntry &target) const;
    // Adds the messages that are due to witnesses other than this member.
    void send(const OwnerEntry &target, const OwnerView &view, TimePoint now, OutgoingMessages &messages);
    void acknowledged(const MemberId &witness, TimePoint now);
    // True when the target can start nothing more and all keys that it started are known or out of their retention time.
    bool complete(const OwnerEntry &target, const MemberId &self, bool termsKnown, TimePoint now) const;

    // True once per retention time after the last resort should have ended the fence. Then this member may itself be the only witness
    // left, and learns the outcome from the others when it joins again.
    bool overdue(TimePoint now);

private:
    bool silentWitnessesOverdue(const OwnerEntry &target, const MemberId &self, TimePoint now) const;

    const OwnershipOptions &m_options;
    MemberId m_target;
    std::map<MemberId, TimePoint> m_acknowledged;
    ResendTimer m_timer;
    TimePoint m_overdueAt;
};

} // namespace wisteriafork
