#include "core/ownership/ownershipprivate.h"

#include <algorithm>

namespace wisteriafork {

void Ownership::Private::handle(const OwnershipMessageReceived &input)
{
    std::visit([this, &input](const auto &message) { receive(input.from, message); }, input.message);
}

void Ownership::Private::receive(const NodeId & /*from*/, const OwnershipProbe &message)
{
    if (m_excluded) {
        return;
    }
    const MemberAddress &sender = message.sender;
    m_view.proveEnded(sender, m_clock.now());
    if (sender.id.name != m_self.name && message.stage == OwnerStage::Joined && !m_view.refusesJoin(sender.id)) {
        const OwnerEntry *entry = m_view.find(sender.id);
        if (entry == nullptr || !entry->known) {
            m_join.seed(sender);
            m_view.mergeTerms(sender, message.terms);
            if (m_join.joined()) {
                // Two owners that do not know each other, after a wrong host list: both stop acting for keys that the other ranks first
                // for.
                m_join.requestNewTerm();
            }
        }
    }
    if (message.answer) {
        m_join.probeAnswered(sender.id, m_clock.now());
    } else {
        send(sender, OwnershipProbe{.sender = m_view.self(), .stage = stage(), .answer = true, .terms = m_join.termsInUse()});
    }
    maintain();
}

void Ownership::Private::receive(const NodeId & /*from*/, const Join &message)
{
    const MemberId id = message.sender.id;
    if (m_excluded || message.terms.empty()) {
        return;
    }
    const std::uint64_t term = message.terms.back().term;
    if (id.name == m_self.name) {
        // A later incarnation of this instance is there; this one makes way.
        if (id.incarnation > m_self.incarnation) {
            handle(StopRequested{});
        } else {
            return;
        }
    }
    if (m_view.refusesJoin(id)) {
        send(message.sender, JoinRefused{.sender = m_self, .joiner = id, .term = term});
        return;
    }
    if (std::find(message.excluded.begin(), message.excluded.end(), m_self) != message.excluded.end()) {
        becomeExcluded();
        return;
    }
    for (const MemberId &excluded : message.excluded) {
        m_view.bar(excluded);
    }
    m_view.mergeTerms(message.sender, message.terms);
    m_witnesses.accept(id, message.terms);
    m_view.proveEnded(message.sender, m_clock.now());
    JoinAcknowledged answer{.sender = m_self,
                            .joiner = id,
                            .term = term,
                            .stage = stage(),
                            .members = {{.member = m_view.self(), .excluded = m_leaving, .terms = m_join.termsInUse()}},
                            .records = m_leaving ? recordsForRelease() : recordsForJoiner(id)};
    for (MemberReport &report : m_view.reports(m_clock.now())) {
        if (report.member.id != id) {
            answer.members.push_back(std::move(report));
        }
    }
    send(message.sender, std::move(answer));
    maintain();
}

void Ownership::Private::receive(const NodeId & /*from*/, const JoinAcknowledged &message)
{
    if (m_excluded || message.joiner != m_self || !m_join.acceptsAcknowledgement(message.term) || message.members.empty()) {
        return;
    }
    for (const MemberReport &report : message.members) {
        const MemberId &id = report.member.id;
        if (id == m_self) {
            continue;
        }
        if (report.excluded) {
            m_view.exclude(report.member, m_clock.now());
        } else if (id == message.sender && message.stage == OwnerStage::Joining) {
            m_view.note(report.member);
        } else if (!m_view.excluded(id)) {
            m_view.mergeTerms(report.member, report.terms);
        }
    }
    for (const HandedRecord &record : message.records) {
        take(record, message.sender);
    }
    m_join.acknowledged(message.members.front().member, message.stage);
    maintain();
}

void Ownership::Private::receive(const NodeId & /*from*/, const JoinRefused &message)
{
    if (message.joiner == m_self) {
        becomeExcluded();
    }
}

void Ownership::Private::receive(const NodeId & /*from*/, const JoinCommitted &message)
{
    m_view.commitTerm(message.sender, message.term);
    reply(message.sender.name, JoinCommittedAcknowledged{.sender = m_self, .joiner = message.sender, .term = message.term});
}

void Ownership::Private::receive(const NodeId & /*from*/, const JoinCommittedAcknowledged &message)
{
    if (message.joiner == m_self) {
        m_join.committedAcknowledged(message.sender, message.term);
    }
}

void Ownership::Private::receive(const NodeId &from, const Claim &message)
{
    const MemberId owner{.name = from, .incarnation = message.owner};
    const ClaimVerdict verdict = m_witnesses.claim(owner, message, m_clock.now());
    if (verdict == ClaimVerdict::Full) {
        return;
    }
    if (verdict != ClaimVerdict::Acknowledged) {
        reply(from, ClaimRefused{.owner = owner, .witness = m_self, .term = message.term, .fenced = verdict == ClaimVerdict::Fenced});
        return;
    }
    reply(from, ClaimAcknowledged{.owner = message.owner, .sequence = message.sequence});
}

void Ownership::Private::receive(const NodeId &from, const ClaimAcknowledged &message)
{
    if (m_excluded || m_leaving || message.owner != m_self.incarnation) {
        return;
    }
    for (const ClaimSender::Acknowledged &acknowledged : m_claims.acknowledged(from, message.sequence)) {
        if (Record *record = m_records.find(acknowledged.key)) {
            claimed(acknowledged.key, *record, m_claims.term().term, acknowledged.sentAt);
        }
    }
}

void Ownership::Private::receive(const NodeId & /*from*/, const ClaimRefused &message)
{
    if (message.owner != m_self) {
        return;
    }
    if (message.fenced) {
        becomeExcluded();
        return;
    }
    const std::vector<MemberId> &witnesses = m_claims.term().witnesses;
    const auto named = std::find_if(witnesses.begin(), witnesses.end(),
                                    [&message](const MemberId &witness) { return witness.name == message.witness.name; });
    if (message.term == m_claims.term().term && named != witnesses.end() && named->incarnation < message.witness.incarnation) {
        m_join.witnessLost(*named);
        m_claims.avoid(named->name);
        maintain();
    }
}

void Ownership::Private::receive(const NodeId & /*from*/, const Fence &message)
{
    if (message.witness != m_self.incarnation || message.target == m_self) {
        return;
    }
    if (m_witnesses.fenced(message.sender) || m_view.refusesJoin(message.sender)) {
        reply(message.sender.name,
              FenceRefused{.sender = message.sender, .target = message.target, .witness = m_self, .senderFenced = true});
        return;
    }
    m_view.bar(message.target);
    const OwnerEntry *target = m_view.find(message.target);
    reply(message.sender.name,
          FenceAcknowledged{.sender = message.sender,
                            .target = message.target,
                            .witness = m_self,
                            .claims = m_witnesses.fence(message.target, m_clock.now()),
                            .terms = target->terms});
}

void Ownership::Private::receive(const NodeId & /*from*/, const FenceAcknowledged &message)
{
    const auto fence = m_fences.find(message.target);
    if (m_excluded || message.sender != m_self || fence == m_fences.end()) {
        return;
    }
    takeClaims(message.target, message.claims);
    m_view.mergeTerms(m_view.find(message.target)->address, message.terms);
    fence->second.acknowledged(message.witness, m_clock.now());
    maintain();
}

void Ownership::Private::receive(const NodeId & /*from*/, const FenceRefused &message)
{
    if (message.sender == m_self && message.senderFenced) {
        becomeExcluded();
    }
}

void Ownership::Private::receive(const NodeId & /*from*/, const Release &message)
{
    if (m_excluded || message.sender == m_self) {
        return;
    }
    std::uint64_t &seen = m_releasesSeen[message.sender];
    if (message.sequence > seen) {
        seen = message.sequence;
        if (m_options.mechanisms.releaseHandover) {
            if (!message.records.empty()) {
                forgetHolder(message.sender, message.records);
            }
            for (const HandedRecord &record : message.records) {
                take(record, message.sender);
            }
        }
        const OwnerEntry *entry = m_view.find(message.sender);
        m_view.exclude(entry != nullptr ? entry->address : MemberAddress{.id = message.sender, .domain = {}, .peerAddress = {}},
                       m_clock.now());
    }
    reply(message.sender.name, ReleaseAcknowledged{.sender = m_self, .owner = message.sender, .sequence = message.sequence});
    maintain();
}

void Ownership::Private::receive(const NodeId & /*from*/, const ReleaseAcknowledged &message)
{
    if (message.owner == m_self) {
        m_release.acknowledged(message.sender, message.sequence);
        maintain();
    }
}

void Ownership::Private::receive(const NodeId & /*from*/, const CopyCheck & /*message*/)
{
    // Answered by `OpenCopies`, for calls to any service.
}

void Ownership::Private::receive(const NodeId & /*from*/, const CopyChecked &message)
{
    Record *record = m_records.find(message.key);
    if (record == nullptr || !record->refusedAt) {
        return;
    }
    const auto call = std::find_if(record->waiting.begin(), record->waiting.end(),
                                   [&message](const WaitingCall &item) { return item.call == message.call; });
    if (call == record->waiting.end() || !call->checkedAt) {
        return;
    }
    const TimePoint reopened = *record->refusedAt + (m_options.mechanisms.settleTime ? m_options.settleTime : Duration{0});
    if (message.youngestAge && *call->checkedAt - *message.youngestAge >= reopened) {
        call->fresh = true;
        tryRun(message.key, *record);
        return;
    }
    handle(CallWithdrawn{message.call});
    refuse(message.call, message.key, RefusalKind::OutcomeUnknown, RefusalReason::EarlierAttemptUnfinished, m_options.settleTime);
}

} // namespace wisteriafork
