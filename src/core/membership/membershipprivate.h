#pragma once

#include "core/membership/domainwatch.h"
#include "core/membership/membership.h"
#include "core/membership/membertable.h"
#include "core/membership/noticeboard.h"
#include "core/membership/peerset.h"
#include "core/membership/probetracker.h"
#include "core/membership/tokenbucket.h"
#include "core/membership/viewfreshness.h"

#include <deque>
#include <string>
#include <vector>

namespace wisteriafork {

// State of `Membership`, and the work that its public functions share.
class Membership::Private
{
public:
    Private(MembershipOptions given, const Clock &nodeClock, RandomEngine engine);

    void handleNotice(const MemberNotice &notice);
    void handleAccusation(const MemberNotice &notice);
    void announce(bool isLeaving);
    void publishOwn();
    void noteFailure(const NodeId &name);
    void noteHeard(const NodeId &name);
    void queueProbe(const NodeId &name, bool urgent);
    bool probe(const NodeId &to, const std::string &address);
    bool spend(TimePoint now);
    void receive(const Probe &message);
    void receive(const ProbeReply &message);
    void receive(const MemberGossip &message);
    void startRegularProbes(TimePoint now);
    void probeMonitored();
    void probeOthers();
    bool probeNext(std::deque<NodeId> &queue);
    void probeForRefresh();
    void startUrgentProbes();
    void expireProbes(TimePoint now);
    void pushNotices(TimePoint now);
    void rebuildPeers(TimePoint now);
    std::vector<Introduction> samplesFor(const Introduction &asker);

    MembershipOptions options;
    const Clock &clock;
    RandomEngine random;
    DomainWatch domains;
    MemberTable table;
    NoticeBoard board;
    PeerSet peerSet;
    ProbeTracker probes;
    ViewFreshness freshness;
    TokenBucket budget;
    TokenBucket gossipBudget;
    Introduction self;
    bool leaving = false;
    std::uint64_t sequence = 0;
    std::uint64_t hostsVersion = 0;
    std::uint64_t firstFreshProbe = 0;
    std::uint64_t probeRound = 0;
    std::uint64_t otherRound = 0;
    TimePoint nextProbe{};
    TimePoint nextRebuild{};
    bool peersChanged = true;
    // Members to probe at once, after their first failure, and those to probe from time to time until they answer or are gone.
    std::deque<NodeId> urgent;
    std::deque<NodeId> recheck;
    std::vector<MembershipOutput> outputs;
};

} // namespace wisteriafork
