#pragma once

#include "core/base/clock.h"
#include "core/base/hostlist.h"
#include "core/base/random.h"
#include "core/membership/candidate.h"
#include "core/membership/introduction.h"
#include "core/membership/membershipoptions.h"
#include "core/membership/membershipoutput.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace wisteriafork {

// What one node knows of the members of its own service and of those that it calls, from host lists, from direct evidence and from notices
// of other nodes. One per node; no locks and no I/O. The caller passes each input as it arrives and `tick()` every 100 ms, then takes the
// outputs with `takeOutputs()`.
class Membership
{
public:
    Membership(MembershipOptions options, const Clock &clock, RandomEngine random);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    // Takes a host list of one service. A list that is older than the one held is ignored; of two with the same version the
    // distribution decides. Members of a service appear in `view()` once
    // its first list is here.
    void applyHostList(const HostList &list);
    // Forgets a service that this node does not call any more.
    void dropService(const ServiceId &service);
    // Version of the `hosts` index of which all needed lists are applied; reported to peers that refresh their view.
    void setHostsVersion(std::uint64_t version);

    // The member answered a call or sent any message. An older incarnation than the known one is ignored. `leaving` is the flag of a load
    // report.
    void noteContact(const NodeId &name, Incarnation incarnation, bool leaving = false);
    // Same for answers that do not say which incarnation sent them; counts for the known incarnation.
    void noteAnswer(const NodeId &name, bool leaving = false);
    // A connection to the member was refused or broke, or a call to it timed out. Ignored until the tick after a pause of
    // this process, since the pause may be the cause.
    void noteUnreachable(const NodeId &name);
    // Takes a control message of this component.
    void handle(const NodeId &from, const MembershipMessage &message);
    // Remembers the sender of a control message of any component as a possible peer: call it with the sender of each `VersionDigest`.
    void learn(const Introduction &introduction);
    // A host list was read from the platform itself, so that the view is fresh without answers of peers.
    void noteViewConfirmed();

    // Tells the peers that this node takes no new work, or that it does again.
    void announceLeaving();
    void announceStaying();

    void tick();
    // Everything to be done since the last call.
    std::vector<MembershipOutput> takeOutputs();

    // Instances of a service; empty if unknown. Constant cost.
    ServiceView view(const ServiceId &service) const;
    // State of the known incarnation of a member; empty for an unknown member.
    std::optional<MemberState> state(const NodeId &name) const;
    // Known incarnation, 0 if unknown.
    Incarnation incarnation(const NodeId &name) const;
    // The host list in force does not have this incarnation (it is absent, or listed with a higher one). Ownership uses this and never
    // suspicion.
    bool isListedGone(const NodeId &name, Incarnation incarnation) const;
    // The host list in force has this incarnation as live, so that it may get new ownership.
    bool isListedLive(const NodeId &name, Incarnation incarnation) const;
    // False from a start or a pause until enough peers have answered and the host lists are as new as theirs. Decisions that move ownership
    // wait for it.
    bool isViewFresh() const;
    // No member of this other failure domain answers.
    bool isDomainSilent(const DomainId &domain) const;
    // Members to gossip with, at most `maxPeers`; those suspected are left out.
    std::span<const Introduction> peers() const;
    // Addresses to ask while there are no peers.
    std::span<const std::string> seeds() const;
    // How this node presents itself.
    const Introduction &self() const;
    std::size_t memberCount() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace wisteriafork
