#pragma once

#include "core/base/clock.h"
#include "core/ownership/outgoing.h"
#include "core/ownership/ownershipoptions.h"
#include "core/ownership/ownerview.h"
#include "core/ownership/resendtimer.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wisteriafork {

// Makes this member an owner, and later changes its witnesses: probes the other members, collects their acknowledgements of a term, and
// tells them when the term before is no longer used.
class JoinProcess
{
public:
    JoinProcess(const OwnershipOptions &options, const OwnerView &view, TimePoint now);

    // Adds the messages that are due. Returns true when the pending term has been acknowledged by all and is in use from now on.
    bool step(TimePoint now, OutgoingMessages &messages);

    bool joined() const;
    // True from the first join message until the first term is in use.
    bool joining() const;
    bool acceptsAcknowledgement(std::uint64_t term) const;
    void acknowledged(const MemberAddress &member, OwnerStage stage);
    // True if what this member knows of the other's terms is up to date: a joined member must accept each term of another, and so must one
    // that has acknowledged a join of it.
    bool knowsTermsOf(const MemberId &member) const;
    void probeAnswered(const MemberId &member, TimePoint now);
    // Adds a member that is an owner but neither listed nor known.
    void seed(const MemberAddress &member);
    // The witness has lost its claims.
    void witnessLost(const MemberId &witness);
    void requestNewTerm();
    // The process was paused: what others said before may be outdated.
    void forgetAnswers();

    const std::vector<WitnessTerm> &termsInUse() const;
    // All keys are claimed under the last term; the others are given up.
    void commit();
    bool committed() const;
    void committedAcknowledged(const MemberId &member, std::uint64_t term);

private:
    std::vector<MemberAddress> candidates() const;
    std::vector<MemberAddress> needed(TimePoint now) const;
    bool usable(const MemberId &witness) const;
    bool needsNewTerm() const;
    void startTerm(const std::vector<MemberAddress> &candidates);
    bool probeAll(const std::vector<MemberAddress> &members, TimePoint now, OutgoingMessages &messages);
    void sendJoins(const std::vector<MemberAddress> &members, TimePoint now, OutgoingMessages &messages);
    void sendCommits(TimePoint now, OutgoingMessages &messages);
    bool complete(const std::vector<MemberAddress> &members, TimePoint now) const;

    const OwnershipOptions &m_options;
    const OwnerView &m_view;
    TimePoint m_startedAt;
    std::vector<WitnessTerm> m_inUse;
    std::optional<WitnessTerm> m_pending;
    std::uint64_t m_lastTerm = 0;
    std::set<MemberId> m_acknowledged;
    // Members that acknowledged any term.
    std::map<MemberId, MemberAddress> m_accepters;
    bool m_joinedMemberSeen = false;
    bool m_newTermRequested = false;
    std::map<MemberId, TimePoint> m_probeAnswers;
    std::map<MemberId, MemberAddress> m_seeds;
    std::set<MemberId> m_lostWitnesses;
    std::set<MemberId> m_commitMissing;
    ResendTimer m_probeTimer;
    ResendTimer m_joinTimer;
    ResendTimer m_commitTimer;
};

} // namespace wisteriafork
