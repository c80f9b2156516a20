#pragma once

#include "core/distribution/coldread.h"
#include "core/distribution/distribution.h"
#include "core/distribution/hostlistset.h"
#include "core/distribution/readerelection.h"
#include "core/distribution/sliceset.h"
#include "core/distribution/startgate.h"
#include "core/distribution/valuefetcher.h"
#include "core/distribution/valueindex.h"
#include "core/distribution/valuekey.h"
#include "core/membership/membership.h"
#include "core/membership/tokenbucket.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wisteriafork {

// State of `Distribution`, and the work that its public functions share.
class Distribution::Private
{
public:
    // Numbers of `VersionDigest::answers` below the first question: none, and an answer to a digest that asked nothing.
    static constexpr std::uint64_t UnaskedAnswer = 1;
    static constexpr std::uint64_t FirstQuestion = 2;

    // One of the two published sets.
    struct Family
    {
        ValueIndex index;
        // Who sent the index.
        std::string from{};
        // Stamp before the changes that are not yet passed on.
        std::optional<VersionStamp> pushFrom{};
        TimePoint pullUntil{};
        // Greatest stamp that a peer answered while this node starts.
        VersionStamp seen{};
        TimePoint seenAt{};
        // Dropped stamp of the last conflict, so that it is reported once.
        VersionStamp conflict{};
        TimePoint nextRead{};
        unsigned reads = 0;
        // Reads left to peers since the start.
        unsigned deferrals = 0;
    };
    struct Waiter
    {
        NodeId name;
        std::string address;
        IndexEntry entry;
    };

    Private(DistributionOptions given, const Membership &nodeMembership, const Clock &nodeClock, RandomEngine engine);

    Family &family(ValueFamily which);
    bool send(const NodeId &to, const std::string &address, DistributionMessage message);
    VersionDigest digest(bool withReaders) const;

    // Indexes.
    bool isAcceptable(ValueFamily which, const VersionStamp &stamp);
    void adopted(ValueFamily which, const VersionStamp &before, std::string from);
    void indexRead(ValueFamily which, std::string_view text);
    void pullIndex(ValueFamily which, const VersionStamp &have, const NodeId &to, const std::string &address);
    void compare(ValueFamily which, const VersionStamp &theirs, const VersionDigest &message, bool &tellThem);
    void pushIndex(ValueFamily which);

    // Values.
    void valueArrived(const ValueKey &key, const IndexEntry &entry, std::string text, bool fromService);
    bool sliceArrived(const ValueKey &key, std::string text);
    bool hostListArrived(const ValueKey &key, const IndexEntry &entry, const std::string &text);
    // The value if it is here; its text is empty otherwise. `hash` is that of the text.
    ValueReply replyFor(ValueFamily which, const IndexEntry &wanted) const;
    void answerWaiters(const ValueKey &key);
    // Index that is to come in force next.
    const ValueIndex &target() const;
    void advance();
    void promote(const ValueIndex &index);
    void holdBack(const ValueKey &key, const VersionStamp &stamp, const std::vector<Finding> &findings);

    // Messages.
    void receive(const NodeId &from, const VersionDigest &message);
    void receive(const NodeId &from, const IndexPull &message);
    void receive(const NodeId &from, const IndexDelta &message);
    void receive(const NodeId &from, const ValuePull &message);
    void receive(const NodeId &from, const ValueReply &message);
    void receive(const NodeId &from, const InForcePull &message);
    void receive(const NodeId &from, const InForceReply &message);

    // Work by time.
    void start(TimePoint now);
    bool takeRead(TimePoint now);
    void sendDigests(TimePoint now);
    // Members of the own service, then the other peers.
    std::vector<Introduction> startPeers() const;
    void askAtStart(TimePoint now);
    // Asks the next seed if one is due; `alone` if no peer is known.
    void askSeed(bool alone, TimePoint now);
    void askForInForce(TimePoint now);
    void readBlindly(TimePoint now);
    void fetch(TimePoint now);
    void watch(TimePoint now);
    void checkReady(TimePoint now);
    const Introduction *pickPeer(bool sameDomain);

    DistributionOptions options;
    const Membership &membership;
    const Clock &clock;
    RandomEngine random;
    std::array<Family, 2> families;
    SliceSet slices;
    HostListSet lists;
    ValueFetcher fetcher;
    ReaderElection election;
    StartGate gate;
    ColdRead coldRead;
    TokenBucket messageBudget;
    TokenBucket byteBudget;
    TokenBucket readBudget;
    std::map<ValueKey, std::vector<Waiter>> waiters;
    // The older version that a peer has in force, while this node starts and the newest is held back.
    std::optional<ValueIndex> fallback;
    TimePoint nextFallback{};
    // Newest version that a member of the own service reported in force while this node starts, and who did.
    VersionStamp bestInForce;
    Introduction bestSource;
    TimePoint bestAt{};
    // Newest index that was held back because of an invalid slice.
    VersionStamp heldStamp;
    // Since when all needed values of the newest indexes are here.
    TimePoint completeSince{};
    TimePoint nextSeed{};
    std::size_t seedsAsked = 0;
    std::vector<HeldBackValue> heldBack;
    std::uint64_t question;
    std::uint64_t hostsReached = 0;
    TimePoint started{};
    TimePoint nextDigest{};
    std::uint64_t digestRound = 0;
    TimePoint inForceSince{};
    std::string inForceFrom;
    bool beaconsChanged = false;
    bool ready = false;
    std::vector<DistributionOutput> outputs;
};

} // namespace wisteriafork
