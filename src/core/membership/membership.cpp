#include "core/membership/membership.h"

#include "core/membership/membershipprivate.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

Membership::Membership(MembershipOptions options, const Clock &clock, RandomEngine random)
    : d(std::make_unique<Private>(std::move(options), clock, random))
{
}

Membership::~Membership() = default;

void Membership::applyHostList(const HostList &list)
{
    if (!d->table.applyList(list, d->clock.now())) {
        return;
    }
    d->peersChanged = true;
    d->nextRebuild = {};
    // A member that the list dropped is asked itself before it counts as gone.
    for (const Candidate &candidate : d->table.view(list.service).all) {
        if (!candidate.listed) {
            d->queueProbe(candidate.name, true);
        }
    }
}

void Membership::dropService(const ServiceId &service)
{
    d->table.dropService(service);
    d->peersChanged = true;
}

void Membership::setHostsVersion(std::uint64_t version)
{
    d->hostsVersion = std::max(d->hostsVersion, version);
    d->freshness.setHostsVersion(version);
}

void Membership::noteContact(const NodeId &name, Incarnation incarnation, bool leaving)
{
    if (d->table.noteContact(name, incarnation, leaving, d->clock.now())) {
        d->noteHeard(name);
    }
}

void Membership::noteAnswer(const NodeId &name, bool leaving)
{
    noteContact(name, incarnation(name), leaving);
}

void Membership::noteUnreachable(const NodeId &name)
{
    if (!d->freshness.isPauseLikely(d->clock.now())) {
        d->probes.drop(name);
        d->noteFailure(name);
    }
}

void Membership::handle(const NodeId &from, const MembershipMessage &message)
{
    if (const auto *probe = std::get_if<Probe>(&message)) {
        learn(probe->sender);
        noteContact(from, probe->sender.incarnation);
        d->receive(*probe);
    } else if (const auto *reply = std::get_if<ProbeReply>(&message)) {
        noteContact(from, reply->incarnation);
        d->receive(*reply);
    } else if (const auto *gossip = std::get_if<MemberGossip>(&message)) {
        noteContact(from, gossip->incarnation);
        d->receive(*gossip);
    }
}

void Membership::learn(const Introduction &introduction)
{
    if (d->table.find(introduction.name) == nullptr) {
        d->peerSet.learn(introduction, d->random);
        d->peerSet.noteHeard(introduction.name);
        d->peersChanged = true;
    }
}

void Membership::noteViewConfirmed()
{
    d->freshness.noteConfirmed();
}

void Membership::announceLeaving()
{
    d->announce(true);
}

void Membership::announceStaying()
{
    d->announce(false);
}

void Membership::tick()
{
    const TimePoint now = d->clock.now();
    if (const std::optional<Duration> pause = d->freshness.noteTick(now)) {
        d->outputs.emplace_back(PauseDetected{.length = *pause});
        d->probes.clear();
        d->domains.reset();
        d->firstFreshProbe = d->probes.nextNumber();
        d->nextProbe = now;
    }
    d->expireProbes(now);
    d->rebuildPeers(now);
    d->startUrgentProbes();
    d->startRegularProbes(now);
    d->pushNotices(now);
    if (d->freshness.becameFresh(d->peerSet.peers().size())) {
        d->outputs.emplace_back(ViewRefreshed{});
    }
}

std::vector<MembershipOutput> Membership::takeOutputs()
{
    for (const MemberStateChanged &change : d->table.takeChanges()) {
        d->outputs.emplace_back(change);
    }
    return std::exchange(d->outputs, {});
}

ServiceView Membership::view(const ServiceId &service) const
{
    return d->table.view(service);
}

std::optional<MemberState> Membership::state(const NodeId &name) const
{
    const MemberRecord *record = d->table.find(name);
    return record == nullptr ? std::nullopt : std::optional(record->state);
}

Incarnation Membership::incarnation(const NodeId &name) const
{
    const MemberRecord *record = d->table.find(name);
    return record == nullptr ? 0 : record->about.incarnation;
}

bool Membership::isListedGone(const NodeId &name, Incarnation incarnation) const
{
    return d->table.isListedGone(name, incarnation);
}

bool Membership::isListedLive(const NodeId &name, Incarnation incarnation) const
{
    const MemberRecord *record = d->table.find(name);
    return record != nullptr && record->listedIncarnation == incarnation && record->listed() && !record->listedLeaving;
}

bool Membership::isViewFresh() const
{
    return d->freshness.isFresh();
}

bool Membership::isDomainSilent(const DomainId &domain) const
{
    return d->domains.isSilent(domain);
}

std::span<const Introduction> Membership::peers() const
{
    return d->peerSet.peers();
}

std::span<const std::string> Membership::seeds() const
{
    return d->options.seeds;
}

const Introduction &Membership::self() const
{
    return d->self;
}

std::size_t Membership::memberCount() const
{
    return d->table.size();
}

} // namespace wisteriafork
