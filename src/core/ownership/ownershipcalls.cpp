#include "core/ownership/ownershipprivate.h"

#include "core/ownership/likelyowner.h"

#include <algorithm>

namespace wisteriafork {

void Ownership::Private::handle(const KeyedCall &call)
{
    if (m_excluded) {
        refuse(call.call, call.key, RefusalKind::OutcomeUnknown, RefusalReason::OwnerNotReady);
        return;
    }
    if (m_clock.now() >= call.deadline) {
        refuse(call.call, call.key, RefusalKind::OutcomeUnknown, RefusalReason::DeadlineTooShort);
        return;
    }
    Record *record = m_records.find(call.key);
    if (record != nullptr && (record->expiry > m_clock.now() || record->state == RecordState::Running)) {
        decideByRecord(call, *record);
        return;
    }
    if (record != nullptr) {
        if (record->state == RecordState::Answered) {
            m_outputs.emplace_back(DropAnswer{call.key});
        }
        refuseWaiting(call.key, *record, RefusalKind::OutcomeUnknown, RefusalReason::EarlierAttemptUnfinished);
        m_records.erase(call.key);
    }
    decideWithoutRecord(call);
}

void Ownership::Private::decideByRecord(const KeyedCall &call, Record &record)
{
    switch (record.state) {
    case RecordState::Answered:
        m_outputs.emplace_back(ReplayAnswer{.call = call.call, .key = call.key});
        return;
    case RecordState::Running:
        wait(call, record);
        return;
    case RecordState::Unknown:
        refuse(call.call, call.key, RefusalKind::OutcomeUnknown, RefusalReason::EarlierAttemptUnfinished);
        return;
    case RecordState::Held: {
        const OwnerEntry *holder = m_view.find(record.holder);
        if (holder == nullptr || m_view.listSaysGone(record.holder)) {
            refuse(call.call, call.key, RefusalKind::OutcomeUnknown, RefusalReason::EarlierAttemptUnfinished);
        } else {
            redirect(call, holder->address);
        }
        return;
    }
    case RecordState::Pending:
    case RecordState::Ready:
    case RecordState::Refused:
        break;
    }
    if (m_leaving || (record.inherited && (!m_join.joined() || m_view.firstBefore(call.key) != nullptr))) {
        decideWithoutRecord(call);
        return;
    }
    wait(call, record);
    tryRun(call.key, record);
}

void Ownership::Private::decideWithoutRecord(const KeyedCall &call)
{
    if (m_leaving) {
        hold(call);
        retryHeldCalls();
        return;
    }
    if (!m_join.joined()) {
        redirectBeforeJoin(call);
        return;
    }
    if (const OwnerEntry *owner = m_view.firstBefore(call.key)) {
        if (owner->address.id.name == m_self.name) {
            refuse(call.call, call.key, RefusalKind::OutcomeUnknown, RefusalReason::OwnerUnreachable);
        } else {
            redirect(call, owner->address);
        }
        return;
    }
    const std::size_t reserve = m_options.maximumRecords / 10;
    if (!mayStartRuns() || m_records.size() >= m_options.maximumRecords) {
        refuse(call.call, call.key, RefusalKind::OutcomeUnknown, mayStartRuns() ? RefusalReason::Overloaded : RefusalReason::OwnerNotReady);
        return;
    }
    const bool nearlyFull = m_records.size() + reserve >= m_options.maximumRecords;
    if (nearlyFull && !m_options.mechanisms.claimBeforeNotRun) {
        refuse(call.call, call.key, RefusalKind::NotRun, RefusalReason::Overloaded);
        return;
    }
    Record &record = m_records.add(call.key, m_clock.now() + retentionInForce(call.retention), call.retention);
    record.refuseOnly = nearlyFull;
    wait(call, record);
    claim(call.key, record);
}

void Ownership::Private::redirectBeforeJoin(const KeyedCall &call)
{
    if (m_join.joining()) {
        hold(call);
        return;
    }
    // Until the join is sent, the other members decide for all keys.
    const std::vector<MemberInfo> &members = m_view.list().members;
    const MemberInfo *other = likelyOwner(
        call.key, members, [this](const MemberInfo &member) { return member.name == m_self.name || member.state == ListedState::Leaving; });
    if (other == nullptr) {
        refuse(call.call, call.key, RefusalKind::OutcomeUnknown, RefusalReason::OwnerNotReady, m_options.resendInterval);
        return;
    }
    redirect(call, {.id = {.name = other->name, .incarnation = other->incarnation}, .domain = {}, .peerAddress = other->peerAddress});
}

void Ownership::Private::redirect(const KeyedCall &call, const MemberAddress &to)
{
    m_outputs.emplace_back(RedirectCall{.call = call.call, .key = call.key, .to = to.id.name, .peerAddress = to.peerAddress});
}

void Ownership::Private::hold(const KeyedCall &call)
{
    if (m_held.size() + m_waiting.size() >= m_options.maximumWaitingCalls) {
        refuse(call.call, call.key, RefusalKind::OutcomeUnknown, RefusalReason::OwnerNotReady);
        return;
    }
    m_held.push_back(call);
    m_callDeadlines.push(call.deadline, call.call);
}

void Ownership::Private::retryHeldCalls()
{
    if (m_held.empty()) {
        return;
    }
    std::vector<KeyedCall> calls = std::exchange(m_held, {});
    for (const KeyedCall &call : calls) {
        if (m_excluded || (!m_leaving && m_join.joined())) {
            handle(call);
            continue;
        }
        if (!m_leaving) {
            m_held.push_back(call);
            continue;
        }
        const MemberAddress *first = m_view.firstOwner(call.key);
        if (first == nullptr) {
            refuse(call.call, call.key, RefusalKind::OutcomeUnknown, RefusalReason::Draining);
        } else if (m_release.knows(first->id)) {
            redirect(call, *first);
        } else {
            m_held.push_back(call);
        }
    }
}

void Ownership::Private::refuse(CallId call, const RequestKey &key, RefusalKind kind, RefusalReason reason, Duration retryAfter)
{
    m_outputs.emplace_back(RefuseCall{.call = call, .key = key, .refusal = {.kind = kind, .reason = reason, .retryAfter = retryAfter}});
}

void Ownership::Private::wait(const KeyedCall &call, Record &record)
{
    if (m_held.size() + m_waiting.size() >= m_options.maximumWaitingCalls) {
        refuse(call.call, call.key, RefusalKind::OutcomeUnknown, RefusalReason::Overloaded);
        return;
    }
    record.waiting.push_back({.call = call.call,
                              .from = call.from,
                              .arrivedAt = call.arrivedAt,
                              .deadline = call.deadline,
                              .retention = call.retention,
                              .checkedAt = std::nullopt,
                              .checkSentAt = {},
                              .fresh = false});
    m_waiting[call.call] = call.key;
    m_callDeadlines.push(call.deadline, call.call);
    m_outputs.emplace_back(WaitForAttempt{.call = call.call, .key = call.key});
}

void Ownership::Private::refuseWaiting(const RequestKey &key, Record &record, RefusalKind kind, RefusalReason reason, Duration retryAfter)
{
    for (const WaitingCall &call : record.waiting) {
        m_waiting.erase(call.call);
        refuse(call.call, key, kind, reason, retryAfter);
    }
    record.waiting.clear();
}

void Ownership::Private::expireCalls()
{
    const TimePoint now = m_clock.now();
    while (const auto call = m_callDeadlines.take(now)) {
        const auto held = std::find_if(m_held.begin(), m_held.end(), [&call](const KeyedCall &item) { return item.call == *call; });
        if (held != m_held.end()) {
            refuse(*call, held->key, RefusalKind::OutcomeUnknown, RefusalReason::OwnerNotReady);
            m_held.erase(held);
        }
        const auto waiting = m_waiting.find(*call);
        if (waiting != m_waiting.end()) {
            const RequestKey key = waiting->second;
            Record *record = m_records.find(key);
            const bool running = record != nullptr && record->state == RecordState::Running;
            handle(CallWithdrawn{*call});
            refuse(*call, key, RefusalKind::OutcomeUnknown,
                   running ? RefusalReason::EarlierAttemptUnfinished : RefusalReason::OwnerUnreachable);
        }
    }
}

void Ownership::Private::handle(const CallWithdrawn &call)
{
    std::erase_if(m_held, [&call](const KeyedCall &item) { return item.call == call.call; });
    const auto found = m_waiting.find(call.call);
    if (found == m_waiting.end()) {
        return;
    }
    if (Record *record = m_records.find(found->second)) {
        std::erase_if(record->waiting, [&call](const WaitingCall &item) { return item.call == call.call; });
    }
    m_waiting.erase(found);
}

void Ownership::Private::handle(const ExecutionFinished &execution)
{
    Record *record = m_records.find(execution.key);
    if (record == nullptr || record->state != RecordState::Running) {
        return;
    }
    --m_running;
    m_records.setExpiry(execution.key, *record, m_clock.now() + retentionInForce(record->retention));
    if (execution.answerBytes > m_options.maximumAnswerBytes) {
        record->state = RecordState::Unknown;
        refuseWaiting(execution.key, *record, RefusalKind::OutcomeUnknown, RefusalReason::EarlierAttemptUnfinished);
    } else {
        m_outputs.emplace_back(KeepAnswer{.call = execution.call, .key = execution.key});
        for (const WaitingCall &call : record->waiting) {
            m_waiting.erase(call.call);
            m_outputs.emplace_back(ReplayAnswer{.call = call.call, .key = execution.key});
        }
        record->waiting.clear();
        for (const RequestKey &key : m_records.storeAnswer(execution.key, *record, execution.answerBytes, m_options.maximumAnswerBytes)) {
            m_outputs.emplace_back(DropAnswer{key});
        }
    }
    if (m_leaving) {
        maintain();
    }
}

void Ownership::Private::handle(const ExecutionNotRun &execution)
{
    Record *record = m_records.find(execution.key);
    if (record == nullptr || record->state != RecordState::Running) {
        return;
    }
    --m_running;
    record->state = RecordState::Refused;
    record->refusedAt = m_clock.now();
    m_records.setExpiry(execution.key, *record, m_clock.now() + retentionInForce(record->retention));
    refuse(record->runningCall, execution.key, RefusalKind::NotRun, execution.reason, execution.retryAfter);
    refuseWaiting(execution.key, *record, RefusalKind::NotRun, execution.reason, execution.retryAfter);
    if (m_leaving) {
        maintain();
    }
}

void Ownership::Private::handle(const ExecutionUnknown &execution)
{
    Record *record = m_records.find(execution.key);
    if (record == nullptr || record->state != RecordState::Running) {
        return;
    }
    refuse(record->runningCall, execution.key, RefusalKind::OutcomeUnknown, execution.reason);
    markUnknown(execution.key, *record);
    if (m_leaving) {
        maintain();
    }
}

} // namespace wisteriafork
