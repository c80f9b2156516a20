#include "core/distribution/distributionprivate.h"

#include "core/base/hashing.h"
#include "core/distribution/indexjson.h"
#include "core/distribution/messagesize.h"
#include "core/distribution/randompart.h"

#include <algorithm>
#include <utility>

// The indexes of the two families: which one counts, and how changes are passed on.

namespace wisteriafork {

namespace {
// A delta with more changes is announced by a digest, and each receiver pulls it once.
constexpr std::size_t PushedChanges = 16;
// Time for the values of a new index to arrive before a starting node reads the index again.
constexpr Duration RereadDelay = std::chrono::seconds(10);
constexpr Duration PullWait = std::chrono::milliseconds(500);
constexpr const char *ServiceName = "configuration service";
} // namespace

Distribution::Private::Private(DistributionOptions given, const Membership &nodeMembership, const Clock &nodeClock, RandomEngine engine)
    : options(std::move(given))
    , membership(nodeMembership)
    , clock(nodeClock)
    , random(engine)
    , families{Family{.index = ValueIndex(ValueFamily::Configuration, options.history)},
               Family{.index = ValueIndex(ValueFamily::Hosts, options.history)}}
    , slices(options, membership.self().service)
    , lists(options)
    , fetcher(options, membership, RandomEngine(random()))
    , election(options, membership, RandomEngine(random()))
    , gate(options)
    , coldRead(options, membership, RandomEngine(random()))
    , messageBudget(options.messagesPerSecond, options.messageBurst)
    , byteBudget(options.bytesPerSecond, options.byteBurst)
    , readBudget(options.readsPerSecond, options.readBurst)
    , question((random() >> 16U) + FirstQuestion)
{
}

Distribution::Private::Family &Distribution::Private::family(ValueFamily which)
{
    return families.at(static_cast<std::size_t>(which));
}

bool Distribution::Private::send(const NodeId &to, const std::string &address, DistributionMessage message)
{
    const TimePoint now = clock.now();
    if (options.mechanisms.budgets
        && (!messageBudget.take(1, now) || !byteBudget.takeOnCredit(static_cast<double>(MessageSize::of(message)), now))) {
        return false;
    }
    outputs.emplace_back(SendDistributionMessage{.to = to, .address = address, .message = std::move(message)});
    return true;
}

VersionDigest Distribution::Private::digest(bool withReaders) const
{
    return {.sender = membership.self(),
            .configuration = families.at(0).index.stamp(),
            .hosts = families.at(1).index.stamp(),
            .inForce = slices.inForce(),
            .readers = withReaders ? election.beacons() : std::vector<ReaderBeacon>()};
}

bool Distribution::Private::isAcceptable(ValueFamily which, const VersionStamp &stamp)
{
    Family &held = family(which);
    const VersionStamp &known = held.index.stamp();
    if (stamp == known || stamp.version == 0) {
        return false;
    }
    if (!options.mechanisms.versionOrder) {
        return true;
    }
    if (stamp.version != known.version) {
        return stamp.version > known.version;
    }
    const bool wins = stamp.hash > known.hash;
    const VersionStamp &dropped = wins ? known : stamp;
    if (held.conflict != dropped) {
        held.conflict = dropped;
        outputs.emplace_back(VersionConflict{.family = which, .kept = wins ? stamp : known, .dropped = dropped});
    }
    return wins && options.mechanisms.resolveConflicts;
}

void Distribution::Private::adopted(ValueFamily which, const VersionStamp &before, std::string from)
{
    Family &held = family(which);
    held.from = std::move(from);
    held.pullUntil = {};
    const Duration spread = std::max(coldRead.deferral(), randomPart(coldRead.spreadFor(held.index.entries().size()), random));
    held.nextRead = std::max(held.nextRead, clock.now() + RereadDelay + spread);
    if (which == ValueFamily::Configuration) {
        // The older version was a way round the one held back; nodes do not keep it once they have a newer one.
        fallback.reset();
    }
    if (!held.pushFrom) {
        held.pushFrom = before;
    }
    advance();
}

void Distribution::Private::indexRead(ValueFamily which, std::string_view text)
{
    const ValueKey key{.family = which, .service = {}};
    tl::expected<PublishedIndex, std::vector<Finding>> parsed = IndexJson::parse(which, text);
    if (!parsed) {
        holdBack(key, {.version = 0, .hash = hash64(text)}, parsed.error());
        return;
    }
    Family &held = family(which);
    if (isAcceptable(which, ValueIndex::stampOf(parsed->version, parsed->entries))) {
        const VersionStamp before = held.index.stamp();
        held.index.replace(parsed->version, std::move(parsed->entries));
        std::erase_if(heldBack, [&](const HeldBackValue &value) { return value.key == formatKey(key); });
        adopted(which, before, ServiceName);
    }
}

void Distribution::Private::pullIndex(ValueFamily which, const VersionStamp &have, const NodeId &to, const std::string &address)
{
    Family &held = family(which);
    const TimePoint now = clock.now();
    if (now >= held.pullUntil && send(to, address, IndexPull{.family = which, .have = have, .replyTo = membership.self().address})) {
        held.pullUntil = now + PullWait;
    }
}

void Distribution::Private::compare(ValueFamily which, const VersionStamp &theirs, const VersionDigest &message, bool &tellThem)
{
    Family &held = family(which);
    const VersionStamp &known = held.index.stamp();
    if (theirs == known) {
        return;
    }
    if (isAcceptable(which, theirs)) {
        pullIndex(which, known, message.sender.name, message.sender.address);
    } else if (known.version != 0 && held.index.knows(theirs)) {
        IndexDelta delta = held.index.deltaSince(theirs);
        delta.replyTo = membership.self().address;
        send(message.sender.name, message.sender.address, std::move(delta));
    } else if (known.version != 0) {
        tellThem = true;
    }
}

void Distribution::Private::pushIndex(ValueFamily which)
{
    Family &held = family(which);
    if (!held.pushFrom || membership.peers().empty()) {
        return;
    }
    IndexDelta delta = held.index.deltaSince(*held.pushFrom);
    held.pushFrom.reset();
    const bool small = delta.from != VersionStamp{} && delta.changed.size() + delta.removed.size() <= PushedChanges;
    delta.replyTo = membership.self().address;
    std::vector<std::size_t> order(membership.peers().size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    for (std::size_t i = 0; i < std::min(options.fanout, order.size()); ++i) {
        std::swap(order[i], order[std::uniform_int_distribution<std::size_t>(i, order.size() - 1)(random)]);
        const Introduction &peer = membership.peers()[order[i]];
        if (small) {
            send(peer.name, peer.address, delta);
        } else {
            send(peer.name, peer.address, digest(peer.domain == membership.self().domain));
        }
    }
}

} // namespace wisteriafork
