#include "core/ownership/recordtable.h"

#include <algorithm>

namespace wisteriafork {

Record *RecordTable::find(const RequestKey &key)
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

Record &RecordTable::add(const RequestKey &key, TimePoint expiry, Duration retention)
{
    Record &record = m_records[key];
    record.retention = retention;
    setExpiry(key, record, expiry);
    return record;
}

void RecordTable::setExpiry(const RequestKey &key, Record &record, TimePoint expiry)
{
    record.expiry = expiry;
    m_expiry.push(expiry, key);
}

void RecordTable::erase(const RequestKey &key)
{
    if (Record *record = find(key)) {
        forgetAnswer(*record);
        m_records.erase(key);
    }
}

void RecordTable::forgetAnswer(Record &record)
{
    m_answerBytes -= record.answerBytes;
    record.answerBytes = 0;
}

std::vector<RequestKey> RecordTable::storeAnswer(const RequestKey &key, Record &record, std::uint64_t bytes, std::uint64_t bound)
{
    record.state = RecordState::Answered;
    record.answerBytes = bytes;
    m_answerBytes += bytes;
    m_answers.push_back(key);
    std::vector<RequestKey> dropped;
    while (m_answerBytes > bound && !m_answers.empty()) {
        const RequestKey oldest = m_answers.front();
        m_answers.pop_front();
        Record *old = find(oldest);
        if (old != nullptr && old->state == RecordState::Answered) {
            forgetAnswer(*old);
            old->state = RecordState::Unknown;
            dropped.push_back(oldest);
        }
    }
    return dropped;
}

std::vector<RequestKey> RecordTable::expire(TimePoint now)
{
    std::vector<RequestKey> dropped;
    while (const auto key = m_expiry.take(now)) {
        Record *record = find(*key);
        if (record == nullptr || record->expiry > now || record->state == RecordState::Running) {
            continue;
        }
        if (!record->waiting.empty()) {
            // Calls still wait; look again when they have been decided.
            m_expiry.push(now + std::chrono::seconds(1), *key);
            continue;
        }
        if (record->state == RecordState::Answered) {
            dropped.push_back(*key);
        }
        erase(*key);
    }
    while (!m_answers.empty() && find(m_answers.front()) == nullptr) {
        m_answers.pop_front();
    }
    return dropped;
}

void RecordTable::forEach(const std::function<void(const RequestKey &, Record &)> &visit)
{
    for (auto &[key, record] : m_records) {
        visit(key, record);
    }
}

std::size_t RecordTable::size() const
{
    return m_records.size();
}

} // namespace wisteriafork
