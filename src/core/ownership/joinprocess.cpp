#include "core/ownership/joinprocess.h"

#include "core/ownership/witnesschoice.h"

#include <algorithm>

namespace wisteriafork {

JoinProcess::JoinProcess(const OwnershipOptions &options, const OwnerView &view, TimePoint now)
    : m_options(options)
    , m_view(view)
    , m_startedAt(now)
    , m_probeTimer(options.resendInterval, options.maximumResendInterval)
    , m_joinTimer(options.resendInterval, options.maximumResendInterval)
    , m_commitTimer(options.resendInterval, options.maximumResendInterval)
{
}

bool JoinProcess::joined() const
{
    return !m_inUse.empty();
}

bool JoinProcess::joining() const
{
    return m_inUse.empty() && m_pending.has_value();
}

bool JoinProcess::acceptsAcknowledgement(std::uint64_t term) const
{
    return m_pending && m_pending->term == term;
}

void JoinProcess::acknowledged(const MemberAddress &member, OwnerStage stage)
{
    m_acknowledged.insert(member.id);
    m_accepters[member.id] = member;
    m_joinedMemberSeen = m_joinedMemberSeen || stage != OwnerStage::Joining;
}

bool JoinProcess::knowsTermsOf(const MemberId &member) const
{
    if (m_accepters.contains(member)) {
        return true;
    }
    return joined() ? !m_seeds.contains(member) : !m_joinedMemberSeen;
}

void JoinProcess::probeAnswered(const MemberId &member, TimePoint now)
{
    m_probeAnswers[member] = now;
}

void JoinProcess::seed(const MemberAddress &member)
{
    m_seeds[member.id] = member;
}

void JoinProcess::witnessLost(const MemberId &witness)
{
    m_lostWitnesses.insert(witness);
}

void JoinProcess::requestNewTerm()
{
    m_newTermRequested = true;
}

void JoinProcess::forgetAnswers()
{
    m_probeAnswers.clear();
    m_probeTimer.reset();
    m_joinTimer.reset();
    if (!joined()) {
        m_acknowledged.clear();
    }
}

const std::vector<WitnessTerm> &JoinProcess::termsInUse() const
{
    return m_inUse;
}

bool JoinProcess::usable(const MemberId &witness) const
{
    return !m_lostWitnesses.contains(witness) && !m_view.excluded(witness) && !m_view.ended(witness) && !m_view.listSaysGone(witness);
}

std::vector<MemberAddress> JoinProcess::candidates() const
{
    std::vector<MemberAddress> live;
    std::vector<MemberAddress> leaving;
    for (const MemberInfo &member : m_view.list().members) {
        MemberAddress address{
            .id = {.name = member.name, .incarnation = member.incarnation}, .domain = member.domain, .peerAddress = member.peerAddress};
        if (const OwnerEntry *successor = m_view.successor(address.id)) {
            address = successor->address;
        }
        if (member.name == m_options.self.name || !usable(address.id)) {
            continue;
        }
        (member.state == ListedState::Live ? live : leaving).push_back(address);
    }
    return live.size() >= WitnessCount || leaving.empty() ? live : [&] {
        live.insert(live.end(), leaving.begin(), leaving.end());
        return live;
    }();
}

std::vector<MemberAddress> JoinProcess::needed(TimePoint now) const
{
    std::map<MemberId, MemberAddress> result;
    const auto add = [this, &result](const MemberAddress &address) {
        if (address.id != m_view.self().id && !m_view.excluded(address.id)) {
            result[address.id] = address;
        }
    };
    if (!joined()) {
        for (const MemberInfo &member : m_view.list().members) {
            // A listed incarnation that has ended cannot acknowledge, and nobody may know that it was excluded. As in a fence, its keys are
            // waited out.
            const OwnerEntry *entry = m_view.find({.name = member.name, .incarnation = member.incarnation});
            const bool waitedOut
                = entry != nullptr && !entry->known && entry->endedAt && now - *entry->endedAt >= m_options.maximumRetention;
            if (member.name != m_options.self.name && !waitedOut) {
                add({.id = {.name = member.name, .incarnation = member.incarnation},
                     .domain = member.domain,
                     .peerAddress = member.peerAddress});
            }
        }
    }
    for (const auto &[id, address] : m_seeds) {
        add(address);
    }
    for (const auto &[id, address] : m_accepters) {
        // A member that has not joined itself may still fence this one, and must then know its terms; one that has ended fences nobody.
        if (!m_view.listSaysGone(id) && !m_view.ended(id)) {
            add(address);
        }
    }
    for (const OwnerEntry *owner : m_view.owners()) {
        add(owner->address);
    }
    if (m_pending) {
        for (const MemberId &witness : m_pending->witnesses) {
            if (const OwnerEntry *entry = m_view.find(witness)) {
                add(entry->address);
            }
        }
    }
    std::vector<MemberAddress> addresses;
    addresses.reserve(result.size());
    for (const auto &[id, address] : result) {
        addresses.push_back(address);
    }
    return addresses;
}

bool JoinProcess::needsNewTerm() const
{
    if (m_pending) {
        return !std::all_of(m_pending->witnesses.begin(), m_pending->witnesses.end(),
                            [this](const MemberId &witness) { return usable(witness); });
    }
    if (!joined() || m_newTermRequested) {
        return true;
    }
    const std::vector<MemberId> &witnesses = m_inUse.back().witnesses;
    return (witnesses.size() < WitnessCount && witnesses.size() < candidates().size())
        || !std::all_of(witnesses.begin(), witnesses.end(), [this](const MemberId &witness) { return usable(witness); });
}

void JoinProcess::startTerm(const std::vector<MemberAddress> &candidates)
{
    m_pending = WitnessTerm{.term = ++m_lastTerm, .witnesses = chooseWitnesses(m_view.self(), candidates)};
    m_newTermRequested = false;
    m_acknowledged.clear();
    m_joinTimer.reset();
}

bool JoinProcess::probeAll(const std::vector<MemberAddress> &members, TimePoint now, OutgoingMessages &messages)
{
    const Duration validity = 2 * m_options.maximumResendInterval;
    const bool due = m_probeTimer.due(now);
    bool all = true;
    for (const MemberAddress &member : members) {
        // A later incarnation in the process of a listed one answers in its place.
        const bool answered = std::any_of(m_probeAnswers.begin(), m_probeAnswers.end(), [&](const auto &answer) {
            return answer.first.name == member.id.name && answer.first.incarnation >= member.id.incarnation
                && now - answer.second < validity;
        });
        if (answered) {
            continue;
        }
        all = false;
        if (due) {
            messages.push_back({member,
                                OwnershipProbe{.sender = m_view.self(),
                                               .stage = joined() ? OwnerStage::Joined : OwnerStage::Joining,
                                               .answer = false,
                                               .terms = m_inUse}});
        }
    }
    if (due && !all) {
        m_probeTimer.sent(now);
    }
    return all;
}

void JoinProcess::sendJoins(const std::vector<MemberAddress> &members, TimePoint now, OutgoingMessages &messages)
{
    if (!m_joinTimer.due(now)) {
        return;
    }
    m_joinTimer.sent(now);
    Join join{.sender = m_view.self(), .terms = m_inUse, .excluded = m_view.excludedMembers(now)};
    join.terms.push_back(*m_pending);
    // Members that have acknowledged are asked again too, because their reports on others change.
    for (const MemberAddress &member : members) {
        messages.push_back({member, join});
    }
}

bool JoinProcess::complete(const std::vector<MemberAddress> &members, TimePoint now) const
{
    if (m_options.mechanisms.joinAcknowledgement) {
        const bool all = std::all_of(members.begin(), members.end(),
                                     [this](const MemberAddress &member) { return m_acknowledged.contains(member.id); });
        if (!all) {
            return false;
        }
    }
    if (joined() || m_joinedMemberSeen || !m_options.mechanisms.coldStartWait) {
        return true;
    }
    return now - m_startedAt >= m_options.maximumRetention + m_options.hostListLag;
}

bool JoinProcess::step(TimePoint now, OutgoingMessages &messages)
{
    if (!m_view.listNamesSelf()) {
        return false;
    }
    sendCommits(now, messages);
    if (needsNewTerm()) {
        if (!joined() && !m_pending && !probeAll(needed(now), now, messages)) {
            return false;
        }
        startTerm(candidates());
    }
    if (!m_pending) {
        return false;
    }
    const std::vector<MemberAddress> members = needed(now);
    if (complete(members, now)) {
        m_inUse.push_back(*m_pending);
        m_pending.reset();
        m_seeds.clear();
        return true;
    }
    sendJoins(members, now, messages);
    return false;
}

void JoinProcess::commit()
{
    m_commitMissing.clear();
    for (const WitnessTerm &term : m_inUse) {
        // A leaving witness waits until it is no longer needed.
        m_commitMissing.insert(term.witnesses.begin(), term.witnesses.end());
    }
    m_inUse.erase(m_inUse.begin(), std::prev(m_inUse.end()));
    for (const OwnerEntry *owner : m_view.owners()) {
        m_commitMissing.insert(owner->address.id);
    }
    m_commitTimer.reset();
}

bool JoinProcess::committed() const
{
    return m_inUse.size() <= 1;
}

void JoinProcess::committedAcknowledged(const MemberId &member, std::uint64_t term)
{
    if (committed() && !m_inUse.empty() && m_inUse.front().term == term) {
        m_commitMissing.erase(member);
    }
}

void JoinProcess::sendCommits(TimePoint now, OutgoingMessages &messages)
{
    if (!committed() || m_commitMissing.empty() || !m_commitTimer.due(now)) {
        return;
    }
    m_commitTimer.sent(now);
    std::erase_if(m_commitMissing, [this](const MemberId &member) { return m_view.listSaysGone(member); });
    for (const MemberId &member : m_commitMissing) {
        if (const OwnerEntry *entry = m_view.find(member)) {
            messages.push_back({entry->address, JoinCommitted{.sender = m_view.self().id, .term = m_inUse.front().term}});
        }
    }
}

} // namespace wisteriafork
