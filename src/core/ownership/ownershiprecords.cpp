#include "core/ownership/ownershipprivate.h"

#include "core/base/hashing.h"

#include <algorithm>

namespace wisteriafork {

bool Ownership::Private::mayStartRuns() const
{
    return !m_excluded && !m_leaving && m_join.joined() && m_claims.witnessesHeard(m_clock.now());
}

Duration Ownership::Private::retentionInForce(Duration retention) const
{
    return m_options.mechanisms.retention ? retention : retention / 20;
}

void Ownership::Private::claim(const RequestKey &key, Record &record)
{
    const TimePoint now = m_clock.now();
    record.inherited = false;
    if (!m_options.mechanisms.claimAtWitness || m_claims.term().witnesses.empty()) {
        claimed(key, record, m_claims.term().term, now);
        return;
    }
    // A run may start until one retention time after the claim was sent, and is remembered for one retention time from then.
    m_claims.request(key, 2 * retentionInForce(record.retention), now);
}

void Ownership::Private::claimed(const RequestKey &key, Record &record, std::uint64_t term, TimePoint sentAt)
{
    record.claimedTerm = term;
    record.claimedAt = sentAt;
    if (record.state != RecordState::Pending) {
        return;
    }
    if (record.refuseOnly) {
        record.state = RecordState::Refused;
        record.refuseOnly = false;
        record.refusedAt = m_clock.now();
        refuseWaiting(key, record, RefusalKind::NotRun, RefusalReason::Overloaded);
        return;
    }
    record.state = record.refusedAt ? RecordState::Refused : RecordState::Ready;
    tryRun(key, record);
}

void Ownership::Private::tryRun(const RequestKey &key, Record &record)
{
    m_checking.erase(key);
    const bool idle = record.state == RecordState::Ready || record.state == RecordState::Refused;
    if (!idle || record.waiting.empty() || !mayStartRuns()) {
        return;
    }
    const TimePoint now = m_clock.now();
    if (record.claimedTerm == 0 || now - record.claimedAt > retentionInForce(record.retention)) {
        record.state = RecordState::Pending;
        claim(key, record);
        return;
    }
    if (record.refusedAt) {
        checkCopies(key, record);
    }
    const auto call = std::find_if(record.waiting.begin(), record.waiting.end(), [&record, now](const WaitingCall &item) {
        return item.deadline > now && (item.fresh || !record.refusedAt);
    });
    if (call == record.waiting.end()) {
        return;
    }
    record.state = RecordState::Running;
    record.runningCall = call->call;
    record.retention = std::max(record.retention, call->retention);
    m_waiting.erase(call->call);
    record.waiting.erase(call);
    ++m_running;
    m_outputs.emplace_back(RunKey{.call = record.runningCall, .key = key});
}

void Ownership::Private::checkCopies(const RequestKey &key, Record &record)
{
    const TimePoint now = m_clock.now();
    const Duration settle = m_options.mechanisms.settleTime ? m_options.settleTime : Duration{0};
    const TimePoint reopened = *record.refusedAt + settle;
    std::vector<CallId> stale;
    for (WaitingCall &call : record.waiting) {
        if (call.fresh) {
            continue;
        }
        if (!m_options.mechanisms.copyCheck) {
            call.fresh = now >= reopened;
        } else if (call.from.empty()) {
            call.fresh = call.arrivedAt >= reopened;
        } else if (now >= reopened) {
            m_checking.insert(key);
            if (!call.checkedAt || now - call.checkSentAt >= m_options.resendInterval) {
                call.checkedAt = call.checkedAt.value_or(now);
                call.checkSentAt = now;
                reply(call.from, CopyCheck{.owner = m_self.name, .key = key, .call = call.call});
            }
            continue;
        }
        if (!call.fresh) {
            stale.push_back(call.call);
        }
    }
    for (const CallId call : stale) {
        handle(CallWithdrawn{call});
        refuse(call, key, RefusalKind::OutcomeUnknown, RefusalReason::EarlierAttemptUnfinished, m_options.settleTime);
    }
}

void Ownership::Private::markUnknown(const RequestKey &key, Record &record)
{
    if (record.state == RecordState::Running) {
        --m_running;
        m_records.setExpiry(key, record, m_clock.now() + retentionInForce(record.retention));
    }
    record.state = RecordState::Unknown;
    refuseWaiting(key, record, RefusalKind::OutcomeUnknown, RefusalReason::EarlierAttemptUnfinished);
}

void Ownership::Private::overwrite(const HandedRecord &handed, Record &record)
{
    const TimePoint now = m_clock.now();
    switch (handed.state) {
    case HandedState::Held:
        record.state = handed.holder == m_self ? RecordState::Unknown : RecordState::Held;
        record.holder = handed.holder;
        break;
    case HandedState::Unknown:
        record.state = RecordState::Unknown;
        break;
    case HandedState::Refused:
        record.state = RecordState::Refused;
        record.refusedAt = std::max(record.refusedAt.value_or(TimePoint::min()), now - handed.refusedFor);
        break;
    }
    m_records.setExpiry(handed.key, record, std::max(record.expiry, now + handed.remaining));
}

void Ownership::Private::take(const HandedRecord &handed, const MemberId &sender)
{
    const TimePoint now = m_clock.now();
    Record *record = m_records.find(handed.key);
    if (record == nullptr || (record->expiry <= now && record->state != RecordState::Running)) {
        if (record != nullptr) {
            refuseWaiting(handed.key, *record, RefusalKind::OutcomeUnknown, RefusalReason::EarlierAttemptUnfinished);
        }
        m_records.erase(handed.key);
        Record &added = m_records.add(handed.key, now + handed.remaining, handed.remaining);
        added.inherited = true;
        overwrite(handed, added);
        return;
    }
    const bool mayHaveRun = handed.state != HandedState::Refused && handed.holder != m_self;
    if (!record->inherited) {
        const bool notRun
            = record->state == RecordState::Pending || record->state == RecordState::Ready || record->state == RecordState::Refused;
        if (notRun && mayHaveRun) {
            markUnknown(handed.key, *record);
        }
        return;
    }
    const bool byHolder = record->state == RecordState::Held && record->holder == sender;
    if (byHolder || record->state == RecordState::Refused || (record->state == RecordState::Held && handed.state == HandedState::Unknown)) {
        overwrite(handed, *record);
    }
}

HandedRecord Ownership::Private::hand(const RequestKey &key, const Record &record, HandedState state) const
{
    const TimePoint now = m_clock.now();
    const Duration remaining = record.state == RecordState::Running ? 2 * retentionInForce(record.retention) : record.expiry - now;
    return {.key = key,
            .state = state,
            .remaining = remaining,
            .refusedFor = record.refusedAt ? now - *record.refusedAt : Duration{0},
            .holder = record.state == RecordState::Held ? record.holder : m_self};
}

std::vector<HandedRecord> Ownership::Private::recordsForJoiner(const MemberId &joiner)
{
    std::vector<HandedRecord> result;
    m_records.forEach([&](const RequestKey &key, const Record &record) {
        if (record.expiry <= m_clock.now() && record.state != RecordState::Running) {
            return;
        }
        const bool passes = outranks(key, joiner.name, m_self.name);
        if (record.inherited) {
            if (!passes && !m_options.mechanisms.inheritedRecordsToJoiner) {
                return;
            }
            const HandedState state = record.state == RecordState::Held ? HandedState::Held
                : record.state == RecordState::Unknown                  ? HandedState::Unknown
                                                                        : HandedState::Refused;
            result.push_back(hand(key, record, state));
        } else if (passes) {
            result.push_back(hand(key, record, HandedState::Held));
        } else if (record.refusedAt && record.claimedTerm == 0) {
            result.push_back(hand(key, record, HandedState::Refused));
        }
    });
    return result;
}

std::vector<HandedRecord> Ownership::Private::recordsForRelease()
{
    std::vector<HandedRecord> result;
    m_records.forEach([&](const RequestKey &key, const Record &record) {
        if (record.expiry <= m_clock.now() && record.state != RecordState::Running) {
            return;
        }
        switch (record.state) {
        case RecordState::Held:
        case RecordState::Running:
            result.push_back(hand(key, record, HandedState::Held));
            break;
        case RecordState::Answered:
            // The answer stays here; resends reach it until this process has ended.
            result.push_back(hand(key, record, m_running > 0 ? HandedState::Held : HandedState::Unknown));
            break;
        case RecordState::Unknown:
            result.push_back(hand(key, record, HandedState::Unknown));
            break;
        case RecordState::Pending:
        case RecordState::Ready:
        case RecordState::Refused:
            if (record.refusedAt) {
                result.push_back(hand(key, record, HandedState::Refused));
            }
            break;
        }
    });
    return result;
}

void Ownership::Private::forgetHolder(const MemberId &holder, const std::vector<HandedRecord> &except)
{
    std::unordered_set<RequestKey> mentioned;
    for (const HandedRecord &record : except) {
        mentioned.insert(record.key);
    }
    std::vector<RequestKey> notRun;
    m_records.forEach([&](const RequestKey &key, Record &record) {
        if (record.state != RecordState::Held || record.holder != holder) {
            return;
        }
        if (except.empty()) {
            record.state = RecordState::Unknown;
        } else if (!mentioned.contains(key)) {
            notRun.push_back(key);
        }
    });
    for (const RequestKey &key : notRun) {
        m_records.erase(key);
    }
}

void Ownership::Private::takeClaims(const MemberId &target, const std::vector<ClaimEntry> &claims)
{
    for (const ClaimEntry &claim : claims) {
        take({.key = claim.key, .state = HandedState::Unknown, .remaining = claim.remaining, .refusedFor = Duration{0}, .holder = target},
             target);
    }
}

} // namespace wisteriafork
