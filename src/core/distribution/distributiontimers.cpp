#include "core/distribution/distributionprivate.h"

#include "core/base/hashing.h"
#include "core/distribution/randompart.h"

#include <algorithm>
#include <cstdint>
#include <random>
#include <span>
#include <utility>

// Work that depends on time: start, digests, fetching, reading.

namespace wisteriafork {

namespace {
constexpr std::size_t BeaconFanout = 3;
constexpr Duration FallbackInterval = std::chrono::milliseconds(500);
// The membership has applied the lists by then, so that all members of the own service are asked.
constexpr Duration ListSettleTime = std::chrono::milliseconds(250);
} // namespace

void Distribution::Private::start(TimePoint now)
{
    started = now;
    nextDigest = now + randomPart(options.digestInterval, random);
    const TimePoint firstRead = now + coldRead.firstDelay();
    for (Family &held : families) {
        held.nextRead = firstRead;
    }
}

std::vector<Introduction> Distribution::Private::startPeers() const
{
    std::vector<Introduction> peers;
    for (const Candidate &candidate : membership.view(membership.self().service).all) {
        if (candidate.name != membership.self().name) {
            peers.push_back({.name = candidate.name,
                             .incarnation = candidate.incarnation,
                             .service = membership.self().service,
                             .domain = candidate.domain,
                             .address = candidate.peerAddress});
        }
    }
    peers.insert(peers.end(), membership.peers().begin(), membership.peers().end());
    return peers;
}

void Distribution::Private::askAtStart(TimePoint now)
{
    if (!options.mechanisms.askPeersAtStart) {
        return;
    }
    const std::vector<Introduction> peers = gate.takesMore() ? startPeers() : std::vector<Introduction>();
    for (const Introduction &peer : gate.takeDue(peers, now)) {
        VersionDigest ask = digest(peer.domain == membership.self().domain);
        ask.question = ++question;
        send(peer.name, peer.address, std::move(ask));
    }
    askSeed(peers.empty() && membership.peers().empty(), now);
}

void Distribution::Private::askSeed(bool alone, TimePoint now)
{
    const std::span<const std::string> seeds = membership.seeds();
    // All seeds are asked, also when one has answered: with one peer each, the nodes of a cold fleet form chains along which the first
    // index travels too slowly to keep the others from reading it.
    if (seeds.empty() || now < nextSeed || (!alone && seedsAsked >= seeds.size())) {
        return;
    }
    nextSeed = now + options.startAnswerTimeout;
    VersionDigest ask = digest(true);
    ask.question = ++question;
    // Nodes that share their list of seeds begin at different ones.
    const std::uint64_t first = hash64(membership.self().name.value());
    send(NodeId(), seeds[(first + seedsAsked++) % seeds.size()], std::move(ask));
}

void Distribution::Private::askForInForce(TimePoint now)
{
    const VersionStamp &known = family(ValueFamily::Configuration).index.stamp();
    if (slices.inForce() < bestInForce && known.version != 0 && heldStamp == known && now >= nextFallback) {
        nextFallback = now + FallbackInterval;
        send(bestSource.name, bestSource.address, InForcePull{.replyTo = membership.self().address});
    }
}

void Distribution::Private::readBlindly(TimePoint now)
{
    for (const ValueFamily which : {ValueFamily::Configuration, ValueFamily::Hosts}) {
        Family &held = family(which);
        // Also after the first index: its values may no longer be published or may be held back, and no node watches before one is ready.
        if (now < held.nextRead) {
            continue;
        }
        if (coldRead.isDeferred(held.deferrals)) {
            ++held.deferrals;
            held.nextRead = now + coldRead.deferral();
            continue;
        }
        if (!takeRead(now)) {
            continue;
        }
        held.nextRead = now + coldRead.nextDelay(held.reads++);
        outputs.emplace_back(ReadValue{.key = formatKey({.family = which, .service = {}})});
    }
}

bool Distribution::Private::takeRead(TimePoint now)
{
    return !options.mechanisms.budgets || readBudget.take(1, now);
}

void Distribution::Private::fetch(TimePoint now)
{
    if (fetcher.isIdle()) {
        return;
    }
    for (const ValueFetcher::Request &request : fetcher.takeDue(now, ready)) {
        if (!request.address.empty()) {
            send(request.to, request.address,
                 ValuePull{.family = request.key.family, .wanted = request.entry, .replyTo = membership.self().address});
        } else if (takeRead(now)) {
            outputs.emplace_back(ReadValue{.key = formatKey(request.key)});
        }
    }
}

void Distribution::Private::watch(TimePoint now)
{
    if (!election.tick(now)) {
        return;
    }
    beaconsChanged = true;
    for (const ValueFamily which : {ValueFamily::Configuration, ValueFamily::Hosts}) {
        const std::string key = formatKey({.family = which, .service = {}});
        if (election.isReading()) {
            outputs.emplace_back(StartValueWatch{.key = key});
        } else {
            outputs.emplace_back(StopValueWatch{.key = key});
        }
    }
}

const Introduction *Distribution::Private::pickPeer(bool sameDomain)
{
    const std::span<const Introduction> peers = membership.peers();
    std::size_t count = 0;
    const Introduction *chosen = nullptr;
    for (const Introduction &peer : peers) {
        if ((!sameDomain || peer.domain == membership.self().domain)
            && std::uniform_int_distribution<std::size_t>(0, count++)(random) == 0) {
            chosen = &peer;
        }
    }
    return chosen;
}

void Distribution::Private::sendDigests(TimePoint now)
{
    if (beaconsChanged) {
        beaconsChanged = false;
        for (std::size_t i = 0; i < BeaconFanout; ++i) {
            if (const Introduction *peer = pickPeer(true)) {
                send(peer->name, peer->address, digest(true));
            }
        }
    }
    if (now < nextDigest || !options.mechanisms.antiEntropy) {
        return;
    }
    nextDigest = now + options.digestInterval;
    ++digestRound;
    // Alternates between the own domain, where beacons travel, and the whole fleet.
    const Introduction *peer = pickPeer(digestRound % 2 == 0);
    if (peer == nullptr) {
        peer = pickPeer(false);
    }
    if (peer != nullptr) {
        send(peer->name, peer->address, digest(peer->domain == membership.self().domain));
    }
}

void Distribution::Private::checkReady(TimePoint now)
{
    const VersionStamp &known = family(ValueFamily::Configuration).index.stamp();
    const ValueIndex &hosts = family(ValueFamily::Hosts).index;
    const bool configured = slices.inForce().version != 0 && (slices.inForce() == known || heldStamp == known);
    const bool listed = hosts.stamp().version != 0 && lists.missing(hosts, slices.needed()).empty();
    if (!configured || !listed) {
        completeSince = {};
        return;
    }
    if (completeSince == TimePoint{}) {
        completeSince = now;
    }
    const bool nobody = membership.peers().empty() && membership.seeds().empty();
    const bool asked
        = gate.isDone() && now - completeSince >= ListSettleTime && (gate.hasAnswer() || nobody || now - started >= options.startPatience);
    const bool best = slices.inForce() >= bestInForce || now - bestAt > options.startPatience;
    const bool newest = best && std::all_of(families.begin(), families.end(), [&](const Family &held) {
                            return held.index.stamp() >= held.seen || now - held.seenAt > options.startPatience;
                        });
    if ((asked && newest) || !options.mechanisms.askPeersAtStart) {
        ready = true;
        outputs.emplace_back(BecameReady{});
    }
}

} // namespace wisteriafork
