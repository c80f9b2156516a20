#include "core/distribution/distributionprivate.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <utility>

// Messages from other nodes.

namespace wisteriafork {

namespace {
constexpr std::size_t MaxWaiters = 16;
} // namespace

void Distribution::Private::receive(const NodeId &from, const VersionDigest &message)
{
    const TimePoint now = clock.now();
    for (const ReaderBeacon &beacon : message.readers) {
        beaconsChanged = election.offer(beacon, now) || beaconsChanged;
    }
    fetcher.noteContact(message.sender);
    if (message.answers >= FirstQuestion && !ready) {
        gate.noteAnswer(from);
        if (message.sender.service == membership.self().service && message.inForce > bestInForce) {
            bestInForce = message.inForce;
            bestSource = message.sender;
            bestAt = now;
        }
        for (const auto &[which, stamp] :
             {std::pair(ValueFamily::Configuration, message.configuration), std::pair(ValueFamily::Hosts, message.hosts)}) {
            if (stamp > family(which).seen) {
                family(which).seen = stamp;
                family(which).seenAt = now;
            }
        }
    }
    bool tellThem = false;
    compare(ValueFamily::Configuration, message.configuration, message, tellThem);
    compare(ValueFamily::Hosts, message.hosts, message, tellThem);
    // An answer is never answered, so that two nodes that both lack something do not send each other digests without end.
    if (message.question != 0 || (tellThem && message.answers == 0)) {
        VersionDigest answer = digest(message.sender.domain == membership.self().domain);
        answer.answers = message.question != 0 ? message.question : UnaskedAnswer;
        send(message.sender.name, message.sender.address, std::move(answer));
    }
}

void Distribution::Private::receive(const NodeId &from, const IndexPull &message)
{
    const Family &held = family(message.family);
    if (held.index.stamp().version == 0 || held.index.stamp() == message.have) {
        return;
    }
    IndexDelta delta = held.index.deltaSince(message.have);
    delta.replyTo = membership.self().address;
    send(from, message.replyTo, std::move(delta));
}

void Distribution::Private::receive(const NodeId &from, const IndexDelta &message)
{
    if (!isAcceptable(message.family, message.to)) {
        return;
    }
    Family &held = family(message.family);
    const VersionStamp before = held.index.stamp();
    if (held.index.apply(message, options.mechanisms.hashCheck)) {
        adopted(message.family, before, from.value());
    } else if (message.from != VersionStamp{}) {
        // A delta that starts here but gives another hash was damaged or made from another content; the whole index is needed then.
        const VersionStamp have = message.from == before ? VersionStamp{} : before;
        pullIndex(message.family, have, from, message.replyTo);
    }
}

void Distribution::Private::receive(const NodeId &from, const ValuePull &message)
{
    const ValueKey key{.family = message.family, .service = message.wanted.service};
    ValueReply reply = replyFor(message.family, message.wanted);
    if (!reply.text.empty()) {
        if (send(from, message.replyTo, std::move(reply))) {
            return;
        }
    } else if (const IndexEntry *wanted = fetcher.wanted(key); wanted != nullptr && *wanted == message.wanted) {
        std::vector<Waiter> &waiting = waiters[key];
        const bool known = std::any_of(waiting.begin(), waiting.end(), [&](const Waiter &waiter) { return waiter.name == from; });
        if (!known && waiting.size() < MaxWaiters) {
            waiting.push_back({.name = from, .address = message.replyTo, .entry = message.wanted});
        }
        if (known || waiting.size() < MaxWaiters) {
            return;
        }
    }
    send(from, message.replyTo, ValueReply{.family = message.family, .value = message.wanted, .text = {}});
}

void Distribution::Private::receive(const NodeId & /*from*/, const ValueReply &message)
{
    const ValueKey key{.family = message.family, .service = message.value.service};
    const IndexEntry *wanted = fetcher.wanted(key);
    if (wanted == nullptr) {
        return;
    }
    // The `hosts` index gives no hash, so a list that was damaged on the way is told from an invalid one by the hash of the sender.
    const bool damaged = hash64(message.text) != message.value.hash && options.mechanisms.hashCheck;
    if (message.text.empty() || damaged) {
        fetcher.noteMiss(key, clock.now());
    } else {
        valueArrived(key, IndexEntry(*wanted), message.text, false);
    }
}

void Distribution::Private::receive(const NodeId &from, const InForcePull &message)
{
    if (slices.inForce().version == 0) {
        return;
    }
    InForceReply reply{.stamp = slices.inForce(), .entries = {}};
    for (const auto &[service, text] : slices.slices()) {
        reply.entries.push_back({.service = service, .version = 0, .hash = hash64(*text)});
    }
    send(from, message.replyTo, std::move(reply));
}

void Distribution::Private::receive(const NodeId & /*from*/, const InForceReply &message)
{
    const bool older = message.stamp < family(ValueFamily::Configuration).index.stamp();
    if (ready || message.stamp <= slices.inForce() || !older || (fallback && message.stamp <= fallback->stamp())) {
        return;
    }
    fallback.emplace(ValueFamily::Configuration, options.history);
    fallback->replacePart(message.stamp, message.entries);
    advance();
}

} // namespace wisteriafork
