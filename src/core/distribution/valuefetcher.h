#pragma once

#include "core/base/clock.h"
#include "core/base/random.h"
#include "core/distribution/distributionoptions.h"
#include "core/distribution/indexentry.h"
#include "core/distribution/valuekey.h"
#include "core/membership/introduction.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wisteriafork {

class Membership;

// Decides from whom to get each value that is missing. The two members of a service that rank first for its value read it from the
// configuration service; of the services that call it, the two that rank first ask its members. The other members of a service form a tree
// by rank: each asks the one above it, which answers when it has the value itself. So each value is read twice from the configuration
// service, and no node sends it to more than a few others. Who gets no answer asks others, and in the end the configuration service.
class ValueFetcher
{
public:
    struct Request
    {
        ValueKey key;
        IndexEntry entry;
        // The configuration service if `to` and `address` are empty.
        NodeId to;
        std::string address;
    };

    // Options and membership must outlive the fetcher.
    ValueFetcher(const DistributionOptions &options, const Membership &membership, RandomEngine random);

    // Sets the values of a family that are missing now.
    void setWanted(ValueFamily family, const std::vector<IndexEntry> &missing, TimePoint now);
    // Requests to make now. A node that is not ready asks peers before the configuration service.
    std::vector<Request> takeDue(TimePoint now, bool ready);
    // The peer that was asked does not have the value.
    void noteMiss(const ValueKey &key, TimePoint now);
    // The configuration service does not answer or does not have this content.
    void noteServiceMiss(const ValueKey &key, TimePoint now);
    void noteUnreachable(const NodeId &peer, TimePoint now);
    // A message of this node arrived. While the own host list is not here, members of the own service are asked for it.
    void noteContact(const Introduction &sender);
    // Sets the time over which nodes that do not know their own service spread their reads.
    void setSpread(Duration spread);
    // Entry that is wanted for the key; null if none is.
    const IndexEntry *wanted(const ValueKey &key) const;
    bool isIdle() const;

private:
    struct Want
    {
        IndexEntry entry;
        unsigned attempts = 0;
        unsigned serviceMisses = 0;
        TimePoint due;
        TimePoint serviceDue;
        NodeId asked;
        TimePoint since;
        // Random number in [0, 1) that spreads the reads of many nodes.
        double spread = 0;
    };
    // This node's part in getting the value of a service.
    struct Role
    {
        bool member = false;
        // The own host list is not here yet, so that the rank is not known.
        bool unknown = false;
        std::size_t rank = 0;
    };

    Role roleFor(const ValueKey &key) const;
    // Time for which this node asks others before it reads the configuration service.
    Duration patience(ValueFamily family, const Want &want, const Role &role, bool ready) const;
    // Time until a starting node repeats a pull, by the number of attempts before.
    Duration startTimeout(unsigned attempts) const;
    std::optional<Request> choose(const ValueKey &key, Want &want, TimePoint now, bool ready);
    std::optional<Request> choosePeer(const ValueKey &key, const Want &want, const Role &role);
    // The member of the own service that is above this node in the tree.
    std::optional<Request> parent(const ValueKey &key, const Role &role) const;
    std::optional<Request> anyOf(const ServiceId &service);
    std::optional<Request> anyPeer();
    Duration jittered(Duration most);

    const DistributionOptions &m_options;
    const Membership &m_membership;
    RandomEngine m_random;
    std::map<ValueKey, Want> m_wants;
    // The last member of the own service that sent a message.
    Introduction m_contact;
    Duration m_spread;
};

} // namespace wisteriafork
