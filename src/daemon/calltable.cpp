#include "daemon/calltable.h"

#include <utility>

namespace wisteriafork {

CallRecord *CallTable::findLocked(CallId id) const
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : found->second.get();
}

std::shared_ptr<CallRecord> CallTable::add(CallRecord record)
{
    auto shared = std::make_shared<CallRecord>(std::move(record));
    const std::lock_guard lock(m_mutex);
    shared->call.id = ++m_lastId;
    m_calls.emplace(shared->call.id, shared);
    return shared;
}

std::shared_ptr<CallRecord> CallTable::find(CallId id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : found->second;
}

void CallTable::noteCallerGone(CallId id)
{
    const std::lock_guard lock(m_mutex);
    if (CallRecord *record = findLocked(id)) {
        record->callerGone = true;
    }
}

bool CallTable::noteResponded(CallId id)
{
    const std::lock_guard lock(m_mutex);
    CallRecord *record = findLocked(id);
    return record != nullptr && !std::exchange(record->responded, true);
}

std::optional<unsigned> CallTable::beginAttempt(CallId id, AttemptKind kind, const NodeId &peer, TimePoint expiry)
{
    const std::lock_guard lock(m_mutex);
    CallRecord *record = findLocked(id);
    if (record == nullptr) {
        return std::nullopt;
    }
    record->attempt = kind;
    record->peer = peer;
    record->attemptExpiry = expiry;
    record->clientExchange = nullptr;
    record->answer = nullptr;
    return ++record->attemptNumber;
}

void CallTable::setExchange(CallId id, unsigned number, std::shared_ptr<ClientExchange> exchange)
{
    const std::lock_guard lock(m_mutex);
    CallRecord *record = findLocked(id);
    if (record != nullptr && record->attemptNumber == number && record->attempt != AttemptKind::None) {
        record->clientExchange = std::move(exchange);
    }
}

bool CallTable::endAttempt(CallId id, unsigned number, std::shared_ptr<const HttpResponse> answer)
{
    std::shared_ptr<ClientExchange> ended;
    const std::lock_guard lock(m_mutex);
    CallRecord *record = findLocked(id);
    if (record == nullptr || record->attemptNumber != number || record->attempt == AttemptKind::None) {
        return false;
    }
    record->attempt = AttemptKind::None;
    ended = std::move(record->clientExchange);
    record->answer = std::move(answer);
    return true;
}

std::shared_ptr<ClientExchange> CallTable::abandonAttempt(CallId id, AttemptKind kind)
{
    const std::lock_guard lock(m_mutex);
    CallRecord *record = findLocked(id);
    if (record == nullptr || record->attempt != kind) {
        return nullptr;
    }
    record->attempt = AttemptKind::None;
    return std::move(record->clientExchange);
}

std::vector<CallTable::Attempt> CallTable::takeExpired(TimePoint now)
{
    std::vector<Attempt> expired;
    const std::lock_guard lock(m_mutex);
    for (auto &[id, record] : m_calls) {
        if (record->attempt != AttemptKind::None && record->attemptExpiry <= now) {
            expired.push_back({.id = id, .kind = record->attempt, .peer = record->peer, .exchange = std::move(record->clientExchange)});
            record->attempt = AttemptKind::None;
        }
    }
    return expired;
}

void CallTable::eraseIfDone(CallId id)
{
    std::shared_ptr<CallRecord> done;
    const std::lock_guard lock(m_mutex);
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const CallRecord &record = *found->second;
    if ((record.responded || record.callerGone) && record.attempt == AttemptKind::None) {
        done = std::move(found->second);
        m_calls.erase(found);
    }
}

std::shared_ptr<const HttpResponse> CallTable::answerOf(CallId id) const
{
    const std::lock_guard lock(m_mutex);
    const CallRecord *record = findLocked(id);
    return record == nullptr ? nullptr : record->answer;
}

std::size_t CallTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls.size();
}

} // namespace wisteriafork
