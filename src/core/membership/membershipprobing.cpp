#include "core/membership/membershipprivate.h"

#include <algorithm>
#include <random>
#include <utility>

namespace wisteriafork {

namespace {
constexpr std::size_t ProbesPerTick = 2;
} // namespace

void Membership::Private::startRegularProbes(TimePoint now)
{
    if (now < nextProbe) {
        return;
    }
    // The first probe is delayed by a random part of the interval, so that nodes that start together do not probe together.
    const bool first = nextProbe == TimePoint{};
    nextProbe = now + options.probeInterval;
    if (first) {
        const double part = std::uniform_real_distribution<double>(0, 1)(random);
        nextProbe = now + std::chrono::duration_cast<Duration>(options.probeInterval * part);
        return;
    }
    ++probeRound;
    probeMonitored();
    if (!freshness.isFresh()) {
        probeForRefresh();
    }
    // Monitored members are looked at twice as often as the others.
    if (probeRound % 2 == 0) {
        probeOthers();
    }
    board.expire(now);
    table.purge(now);
}

void Membership::Private::probeOthers()
{
    ++otherRound;
    if (peerSet.peers().empty()) {
        if (!options.seeds.empty()) {
            probe(NodeId(), options.seeds[otherRound % options.seeds.size()]);
        }
        return;
    }
    // Alternates between members that need another look and the other peers.
    if ((otherRound % 2 == 0 || !probeNext(recheck)) && !peerSet.peers().empty()) {
        const Introduction *peer = peerSet.pick(random);
        probe(peer->name, peer->address);
    }
}

void Membership::Private::probeMonitored()
{
    const std::span<const Introduction> monitored = peerSet.monitored();
    if (!monitored.empty()) {
        const Introduction &next = monitored[probeRound % monitored.size()];
        probe(next.name, next.address);
    }
}

// Probes the first member of the queue that still needs it; a suspected one is put at the end of the members to look at again.
bool Membership::Private::probeNext(std::deque<NodeId> &queue)
{
    while (!queue.empty()) {
        const NodeId name = std::move(queue.front());
        queue.pop_front();
        MemberRecord *record = table.find(name);
        if (record == nullptr) {
            continue;
        }
        record->queued = false;
        table.reevaluate(name, clock.now());
        const bool needed
            = record->state == MemberState::Suspected || record->failures > 0 || record->accuserCount > 0 || !record->listed();
        // An accused member is probed even if this node has heard from it lately; a failure then queues it again.
        const bool isUrgent = &queue == &urgent;
        if ((needed || isUrgent) && record->state != MemberState::Gone) {
            const bool sent = probe(name, record->about.address);
            if (!isUrgent || record->state == MemberState::Suspected || !sent) {
                queueProbe(name, false);
            }
            return sent;
        }
    }
    return false;
}

void Membership::Private::probeForRefresh()
{
    for (const Introduction *peer : peerSet.pickSeveral(options.refreshAnswers, random)) {
        probe(peer->name, peer->address);
    }
}

void Membership::Private::startUrgentProbes()
{
    const std::size_t count = options.mechanisms.probeBudget ? ProbesPerTick : urgent.size() + recheck.size();
    for (std::size_t i = 0; i < count && !urgent.empty(); ++i) {
        probeNext(urgent);
    }
    for (std::size_t i = recheck.size(); i > 0 && !options.mechanisms.probeBudget; --i) {
        probeNext(recheck);
    }
}

void Membership::Private::expireProbes(TimePoint now)
{
    for (const ProbeTracker::Pending &expired : probes.takeExpired(now)) {
        if (!expired.to.empty()) {
            noteFailure(expired.to);
        }
    }
}

} // namespace wisteriafork
