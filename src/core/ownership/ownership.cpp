#include "core/ownership/ownership.h"

#include "core/ownership/ownershipprivate.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Time between ticks above which the process counts as paused.
constexpr Duration PauseThreshold = std::chrono::seconds(1);
// Silence between inputs after which refusals may have been delayed. Ticks come every 100 ms; the settle time covers shorter pauses.
constexpr Duration SilenceThreshold = std::chrono::milliseconds(200);
// Longest time for which a leaving member waits until the owners that it witnesses have other witnesses.
constexpr Duration WitnessDutyTime = std::chrono::seconds(5);

MemberAddress addressOf(const MemberInfo &member)
{
    return {.id = {.name = member.name, .incarnation = member.incarnation}, .domain = member.domain, .peerAddress = member.peerAddress};
}

} // namespace

Ownership::Ownership(OwnershipOptions options, const Clock &clock) : m_d(std::make_unique<Private>(std::move(options), clock))
{
}

Ownership::~Ownership() = default;

OwnershipOutputs Ownership::handle(const OwnershipInput &input)
{
    m_d->noticePause();
    std::visit([this](const auto &value) { m_d->handle(value); }, input);
    m_d->sendClaims(std::holds_alternative<OwnershipTick>(input));
    return m_d->takeOutputs();
}

OwnerStage Ownership::stage() const
{
    return m_d->stage();
}

bool Ownership::excluded() const
{
    return m_d->excluded();
}

std::size_t Ownership::recordCount() const
{
    return m_d->records().size();
}

std::size_t Ownership::witnessRecordCount() const
{
    return m_d->witnesses().size();
}

Ownership::Private::Private(OwnershipOptions options, const Clock &clock)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_self{.name = m_options.self.name, .incarnation = m_options.self.incarnation}
    , m_view(addressOf(m_options.self), m_options.processIncarnation != 0 ? m_options.processIncarnation : m_self.incarnation)
    , m_witnesses(m_self, m_options.maximumWitnessRecords)
    , m_claims(m_options)
    , m_join(m_options, m_view, clock.now())
    , m_release(m_options)
    , m_lastTick(clock.now())
    , m_lastInput(clock.now())
    , m_introductionTimer(m_options.resendInterval, m_options.maximumResendInterval)
{
}

void Ownership::Private::noticePause()
{
    const TimePoint now = m_clock.now();
    const TimePoint last = std::exchange(m_lastInput, now);
    if (now - last <= SilenceThreshold) {
        return;
    }
    // A refusal that was decided just before the pause was sent only now.
    m_records.forEach([last, now](const RequestKey &, Record &record) {
        if (record.refusedAt && *record.refusedAt >= last) {
            record.refusedAt = now;
        }
    });
}

OwnerStage Ownership::Private::stage() const
{
    // A member that leaves before it has joined must not count as one that knows all owners.
    if (!m_join.joined()) {
        return OwnerStage::Joining;
    }
    return m_leaving ? OwnerStage::Leaving : OwnerStage::Joined;
}

bool Ownership::Private::excluded() const
{
    return m_excluded;
}

const RecordTable &Ownership::Private::records() const
{
    return m_records;
}

const WitnessTable &Ownership::Private::witnesses() const
{
    return m_witnesses;
}

OwnershipOutputs Ownership::Private::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

void Ownership::Private::handle(const ServiceListRead &input)
{
    if (input.list.service == m_options.self.service && m_view.takeList(input.list)) {
        maintain();
    }
}

void Ownership::Private::handle(const MemberUnreachable &input)
{
    m_claims.avoid(input.member);
}

void Ownership::Private::handle(const OwnershipTick & /*input*/)
{
    const TimePoint now = m_clock.now();
    if (now - m_lastTick > PauseThreshold) {
        m_join.forgetAnswers();
    }
    m_lastTick = now;
    m_witnesses.expire(now);
    for (const RequestKey &key : m_records.expire(now)) {
        m_outputs.emplace_back(DropAnswer{key});
    }
    expireCalls();
    const std::vector<RequestKey> checking(m_checking.begin(), m_checking.end());
    for (const RequestKey &key : checking) {
        if (Record *record = m_records.find(key)) {
            tryRun(key, *record);
        }
    }
    maintain();
}

void Ownership::Private::handle(const OwnershipWake & /*input*/)
{
    // The claims that are due are sent after each input.
}

void Ownership::Private::handle(const StopRequested & /*input*/)
{
    if (m_leaving) {
        return;
    }
    m_leaving = true;
    startRelease();
    maintain();
}

void Ownership::Private::maintain()
{
    if (m_excluded) {
        return;
    }
    const TimePoint now = m_clock.now();
    OutgoingMessages messages;
    if (m_leaving) {
        if (m_running == 0 && !m_finalRelease) {
            m_finalRelease = true;
            m_finalReleaseAt = now;
            m_release.start(recordsForRelease());
        }
        m_release.send(m_view, now, messages);
        sendAll(std::move(messages));
        retryHeldCalls();
        if (m_finalRelease && !m_releaseReported && m_release.complete(m_view) && m_held.empty() && witnessDutyEnded()) {
            m_releaseReported = true;
            m_outputs.emplace_back(OwnershipReleased{});
        }
        return;
    }
    if (m_join.step(now, messages)) {
        startTerm();
    }
    sendAll(std::move(messages));
    if (m_reclaiming && allClaimed()) {
        m_reclaiming = false;
        m_join.commit();
    }
    startFences();
    advanceFences();
    introduceToStrangers();
    retryHeldCalls();
}

void Ownership::Private::sendClaims(bool tick)
{
    if (m_excluded || m_leaving) {
        return;
    }
    for (auto &[witness, claim] : m_claims.due(m_clock.now(), tick)) {
        reply(witness.name, std::move(claim));
    }
    const std::optional<TimePoint> end = m_claims.windowEnd();
    if (end && end != m_wakeAt) {
        m_outputs.emplace_back(WakeOwnership{.at = *end});
    }
    m_wakeAt = end;
}

void Ownership::Private::becomeExcluded()
{
    if (m_excluded) {
        return;
    }
    m_excluded = true;
    // Runs go on; the process answers their own calls when they end.
    m_records.forEach([this](const RequestKey &key, Record &record) {
        refuseWaiting(key, record, RefusalKind::OutcomeUnknown, RefusalReason::OwnerNotReady);
        if (record.state == RecordState::Answered) {
            m_outputs.emplace_back(DropAnswer{key});
        }
    });
    retryHeldCalls();
    m_outputs.emplace_back(OwnershipExcluded{});
}

void Ownership::Private::startTerm()
{
    m_claims.setTerm(m_join.termsInUse().back(), m_clock.now());
    if (m_options.mechanisms.reclaimOnNewTerm) {
        reclaim();
    }
    m_reclaiming = !m_join.committed();
}

void Ownership::Private::reclaim()
{
    m_records.forEach([this](const RequestKey &key, Record &record) {
        if (!record.inherited) {
            claim(key, record);
        }
    });
}

bool Ownership::Private::allClaimed()
{
    if (!m_options.mechanisms.reclaimOnNewTerm) {
        return true;
    }
    const std::uint64_t term = m_claims.term().term;
    bool all = true;
    m_records.forEach([&all, term](const RequestKey &, const Record &record) {
        // A key that was never claimed cannot have run.
        all = all && (record.inherited || record.claimedTerm == 0 || record.claimedTerm == term);
    });
    return all;
}

void Ownership::Private::startFences()
{
    m_view.proveEnded(m_view.self(), m_clock.now());
    for (const OwnerEntry *owner : m_view.owners()) {
        const MemberId id = owner->address.id;
        if (!m_join.knowsTermsOf(id) && !owner->endedAt) {
            continue;
        }
        const bool listedGone = m_view.listNamesSelf() && m_view.listSaysGone(id);
        if (!m_fences.contains(id) && (listedGone || owner->endedAt)) {
            m_view.bar(id);
            const auto [fence, added] = m_fences.try_emplace(id, m_options, id, m_clock.now());
            fenceAsWitness(id, fence->second);
        }
    }
}

void Ownership::Private::fenceAsWitness(const MemberId &target, FenceProcess &fence)
{
    const OwnerEntry *entry = m_view.find(target);
    const std::vector<MemberId> missing = fence.missing(*entry);
    if (std::find(missing.begin(), missing.end(), m_self) != missing.end()) {
        takeClaims(target, m_witnesses.fence(target, m_clock.now()));
        fence.acknowledged(m_self, m_clock.now());
    }
}

void Ownership::Private::advanceFences()
{
    const TimePoint now = m_clock.now();
    OutgoingMessages messages;
    for (auto fence = m_fences.begin(); fence != m_fences.end();) {
        const OwnerEntry *target = m_view.find(fence->first);
        if (target->excluded) {
            fence = m_fences.erase(fence);
            continue;
        }
        fenceAsWitness(fence->first, fence->second);
        if (fence->second.complete(*target, m_self, m_join.knowsTermsOf(fence->first), now)) {
            m_view.exclude(target->address, now);
            forgetHolder(fence->first, {});
            fence = m_fences.erase(fence);
            continue;
        }
        if (fence->second.overdue(now)) {
            m_join.requestNewTerm();
        }
        fence->second.send(*target, m_view, now, messages);
        ++fence;
    }
    sendAll(std::move(messages));
}

void Ownership::Private::startRelease()
{
    std::vector<KeyedCall> moved;
    m_records.forEach([this, &moved](const RequestKey &key, Record &record) {
        if (record.state == RecordState::Running) {
            return;
        }
        for (const WaitingCall &call : record.waiting) {
            m_waiting.erase(call.call);
            moved.push_back({.call = call.call,
                             .key = key,
                             .retention = call.retention,
                             .deadline = call.deadline,
                             .from = call.from,
                             .arrivedAt = call.arrivedAt});
        }
        record.waiting.clear();
    });
    m_checking.clear();
    m_release.start(recordsForRelease());
    for (const KeyedCall &call : moved) {
        hold(call);
    }
}

bool Ownership::Private::witnessDutyEnded() const
{
    if (m_clock.now() - m_finalReleaseAt >= WitnessDutyTime) {
        return true;
    }
    const std::vector<const OwnerEntry *> owners = m_view.owners();
    return std::none_of(owners.begin(), owners.end(), [this](const OwnerEntry *owner) {
        return !m_view.listSaysGone(owner->address.id)
            && std::any_of(owner->terms.begin(), owner->terms.end(), [this](const WitnessTerm &term) {
                   return std::find(term.witnesses.begin(), term.witnesses.end(), m_self) != term.witnesses.end();
               });
    });
}

void Ownership::Private::introduceToStrangers()
{
    const TimePoint now = m_clock.now();
    if (!m_join.joined() || !m_introductionTimer.due(now)) {
        return;
    }
    m_introductionTimer.sent(now);
    for (const MemberInfo &member : m_view.list().members) {
        const MemberAddress address = addressOf(member);
        const OwnerEntry *entry = m_view.find(address.id);
        if (address.id.name != m_self.name && entry != nullptr && !entry->known && !entry->excluded) {
            send(address, OwnershipProbe{.sender = m_view.self(), .stage = stage(), .answer = false, .terms = m_join.termsInUse()});
        }
    }
}

void Ownership::Private::send(const MemberAddress &to, OwnershipMessage message)
{
    m_outputs.emplace_back(SendOwnershipMessage{.to = to.id.name, .peerAddress = to.peerAddress, .message = std::move(message)});
}

void Ownership::Private::sendAll(OutgoingMessages messages)
{
    for (Outgoing &outgoing : messages) {
        send(outgoing.to, std::move(outgoing.message));
    }
}

void Ownership::Private::reply(const NodeId &to, OwnershipMessage message)
{
    m_outputs.emplace_back(SendOwnershipMessage{.to = to, .peerAddress = m_view.addressOf(to), .message = std::move(message)});
}

} // namespace wisteriafork
