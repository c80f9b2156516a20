#include "core/membership/membershipprivate.h"

#include <algorithm>
#include <random>
#include <utility>

namespace wisteriafork {

namespace {
// Peers told directly when this node starts to leave; gossip tells the others.
constexpr std::size_t AnnounceFanout = 16;
constexpr Duration RebuildInterval = std::chrono::seconds(1);
} // namespace

Membership::Private::Private(MembershipOptions given, const Clock &nodeClock, RandomEngine engine)
    : options(std::move(given))
    , clock(nodeClock)
    , random(engine)
    , domains(options.self.domain, options.silentMembers, options.mechanisms.partitionGuard)
    , table(options, domains)
    , peerSet(options)
    , freshness(options.pauseThreshold, options.refreshAnswers, options.mechanisms.pauseDetection)
    , budget(options.messagesPerSecond, options.messageBurst)
    , gossipBudget(options.gossipPerSecond, options.gossipBurst)
    , self(introduce(options.self))
{
}

void Membership::Private::handleNotice(const MemberNotice &notice)
{
    if (notice.subject == self.name) {
        handleAccusation(notice);
        return;
    }
    const TimePoint now = clock.now();
    const MemberRecord *record = table.find(notice.subject);
    const bool stale = record != nullptr && notice.incarnation < record->about.incarnation && options.mechanisms.incarnationOrder;
    if (stale || !board.add(notice, now)) {
        return;
    }
    peersChanged = table.applyNotice(notice, now) || peersChanged;
    if (notice.kind == NoticeKind::Suspect) {
        // Also when an own contact outweighs the accusation, since that contact may be some seconds old.
        queueProbe(notice.subject, true);
    }
}

void Membership::Private::handleAccusation(const MemberNotice &notice)
{
    if (notice.kind == NoticeKind::Suspect && notice.incarnation == self.incarnation && notice.sequence >= sequence) {
        sequence = notice.sequence + 1;
        publishOwn();
    }
}

void Membership::Private::announce(bool isLeaving)
{
    leaving = isLeaving;
    ++sequence;
    publishOwn();
    const std::vector<MemberNotice> notices = board.takeFresh(options.noticesPerMessage);
    std::vector<const Introduction *> told = peerSet.pickSeveral(AnnounceFanout, random);
    for (const Introduction *silent : peerSet.silentSamples()) {
        told.push_back(silent);
    }
    for (const Introduction *peer : told) {
        outputs.emplace_back(
            SendMembershipMessage{.to = peer->name,
                                  .address = peer->address,
                                  .message = MemberGossip{.sender = self.name, .incarnation = self.incarnation, .notices = notices}});
    }
}

void Membership::Private::publishOwn()
{
    board.add({.subject = self.name,
               .incarnation = self.incarnation,
               .sequence = sequence,
               .kind = leaving ? NoticeKind::Leaving : NoticeKind::Alive,
               .accuser = {}},
              clock.now());
}

void Membership::Private::noteFailure(const NodeId &name)
{
    const MemberRecord *record = table.find(name);
    if (record == nullptr) {
        peerSet.noteFailure(name);
        peersChanged = true;
        return;
    }
    const bool fellSilent = domains.noteFailure(record->about.domain, name);
    if (fellSilent) {
        outputs.emplace_back(DomainSilenceChanged{.domain = record->about.domain, .silent = true});
    }
    const bool suspected = table.noteFailure(name, clock.now());
    peersChanged = peersChanged || suspected;
    // A member of a silent domain is not accused: the silence says nothing about it, and thousands of notices would follow. Nor is one that
    // enough others accuse.
    const bool accused = record->accuserCount >= options.accusersToSuspect;
    if (suspected && !accused && freshness.isFresh() && !domains.isSilent(record->about.domain)) {
        board.add({.subject = name,
                   .incarnation = record->about.incarnation,
                   .sequence = record->sequence,
                   .kind = NoticeKind::Suspect,
                   .accuser = self.name},
                  clock.now());
    }
    queueProbe(name, record->failures < options.failuresToSuspect);
}

void Membership::Private::noteHeard(const NodeId &name)
{
    const MemberRecord *record = table.find(name);
    if (record != nullptr && domains.noteContact(record->about.domain)) {
        outputs.emplace_back(DomainSilenceChanged{.domain = record->about.domain, .silent = false});
        table.reviveDomain(record->about.domain, clock.now());
        peersChanged = true;
    }
}

void Membership::Private::queueProbe(const NodeId &name, bool isUrgent)
{
    MemberRecord *record = table.find(name);
    if (record == nullptr || record->queued || name == self.name) {
        return;
    }
    record->queued = true;
    (isUrgent ? urgent : recheck).push_back(name);
}

bool Membership::Private::spend(TimePoint now)
{
    return !options.mechanisms.probeBudget || budget.take(1, now);
}

bool Membership::Private::probe(const NodeId &to, const std::string &address)
{
    const TimePoint now = clock.now();
    if ((!to.empty() && probes.isPending(to)) || !spend(now)) {
        return false;
    }
    const std::uint64_t number = probes.start(to, now + options.probeTimeout);
    outputs.emplace_back(SendMembershipMessage{
        .to = to, .address = address, .message = Probe{.sender = self, .number = number, .notices = board.ride(options.ridesPerMessage)}});
    return true;
}

void Membership::Private::receive(const Probe &message)
{
    const NodeId &from = message.sender.name;
    std::vector<Introduction> samples = samplesFor(message.sender);
    outputs.emplace_back(SendMembershipMessage{.to = from,
                                               .address = message.sender.address,
                                               .message = ProbeReply{.sender = self.name,
                                                                     .incarnation = self.incarnation,
                                                                     .sequence = sequence,
                                                                     .leaving = leaving,
                                                                     .number = message.number,
                                                                     .hostsVersion = hostsVersion,
                                                                     .samples = std::move(samples),
                                                                     .notices = board.ride(options.ridesPerMessage)}});
    for (const MemberNotice &notice : message.notices) {
        handleNotice(notice);
    }
}

std::vector<Introduction> Membership::Private::samplesFor(const Introduction &asker)
{
    std::vector<Introduction> samples;
    if (table.find(asker.name) == nullptr) {
        samples.push_back(self);
    }
    // Every other sample is from the asker's failure domain, since reader beacons travel within a domain.
    const Introduction *sample = probeRound % 2 == 0 ? peerSet.pickOf(asker.domain, random) : nullptr;
    sample = sample != nullptr ? sample : peerSet.pick(random);
    if (sample != nullptr && sample->name != asker.name) {
        samples.push_back(*sample);
    }
    return samples;
}

void Membership::Private::receive(const ProbeReply &message)
{
    const std::optional<ProbeTracker::Pending> pending = probes.finish(message.number);
    const NodeId &from = message.sender;
    if (message.sequence > 0) {
        handleNotice({.subject = from,
                      .incarnation = message.incarnation,
                      .sequence = message.sequence,
                      .kind = message.leaving ? NoticeKind::Leaving : NoticeKind::Alive,
                      .accuser = {}});
    }
    if (pending && message.number >= firstFreshProbe) {
        freshness.noteAnswer(from, message.hostsVersion);
    }
    for (const Introduction &sample : message.samples) {
        peerSet.learn(sample, random);
        peersChanged = true;
    }
    for (const MemberNotice &notice : message.notices) {
        handleNotice(notice);
    }
}

void Membership::Private::receive(const MemberGossip &message)
{
    for (const MemberNotice &notice : message.notices) {
        handleNotice(notice);
    }
}

void Membership::Private::pushNotices(TimePoint now)
{
    if (!board.hasFresh() || peerSet.peers().empty()) {
        return;
    }
    const auto fanout = static_cast<double>(std::min(options.gossipFanout, peerSet.peers().size()));
    if (!gossipBudget.take(fanout, now) && !board.hasUrgent() && options.mechanisms.gossipBudget) {
        return;
    }
    const std::vector<const Introduction *> chosen = peerSet.pickSeveral(options.gossipFanout, random);
    std::vector<MemberNotice> notices;
    for (const Introduction *peer : chosen) {
        if (!spend(now)) {
            return;
        }
        if (notices.empty()) {
            notices = board.takeFresh(options.noticesPerMessage);
        }
        outputs.emplace_back(
            SendMembershipMessage{.to = peer->name,
                                  .address = peer->address,
                                  .message = MemberGossip{.sender = self.name, .incarnation = self.incarnation, .notices = notices}});
    }
}

void Membership::Private::rebuildPeers(TimePoint now)
{
    if (!peersChanged || (now < nextRebuild && !peerSet.peers().empty())) {
        return;
    }
    peersChanged = false;
    nextRebuild = now + RebuildInterval;
    peerSet.rebuild(table);
}

} // namespace wisteriafork
