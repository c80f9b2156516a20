#pragma once

#include "core/base/random.h"
#include "core/membership/introduction.h"
#include "core/membership/membershipoptions.h"
#include "core/membership/membertable.h"

#include <cstddef>
#include <span>
#include <vector>

namespace wisteriafork {

// Chooses the bounded set of members that a node probes and gossips with: the members that follow it on a ring of its own service, others
// of its service and of called services, and a changing sample of all other members, half of it
// from the own failure domain. The sample joins services that do not call each other
// and keeps the graph of peers well connected.
class PeerSet
{
public:
    // The options must outlive the set.
    explicit PeerSet(const MembershipOptions &options);

    // Takes a possible peer that is in no host list of this node.
    void learn(const Introduction &introduction, RandomEngine &random);
    // A possible peer sent a message or did not answer. One that does not answer keeps its place until another takes it, so that it is
    // known again when a partition ends.
    void noteHeard(const NodeId &name);
    void noteFailure(const NodeId &name);
    // Chooses again from the table.
    void rebuild(const MemberTable &table);

    std::span<const Introduction> peers() const;
    // The first peers: members of the own service that this node watches.
    std::span<const Introduction> monitored() const;
    const Introduction *pick(RandomEngine &random) const;
    // A peer of this failure domain; null if there is none.
    const Introduction *pickOf(const DomainId &domain, RandomEngine &random) const;
    // Possible peers that did not answer lately.
    std::vector<const Introduction *> silentSamples() const;
    // A random sample of the peers, without repetition.
    std::vector<const Introduction *> pickSeveral(std::size_t count, RandomEngine &random) const;

private:
    struct Sample
    {
        Introduction about;
        unsigned failures = 0;
    };

    void addOwnService(const std::vector<MemberRecord *> &members);
    void addCalled(const MemberTable &table);

    const MembershipOptions &m_options;
    std::vector<Introduction> m_peers;
    std::vector<Sample> m_samples;
    std::size_t m_monitored = 0;
};

} // namespace wisteriafork
