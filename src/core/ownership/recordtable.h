#pragma once

#include "core/base/clock.h"
#include "core/base/refusal.h"
#include "core/base/requestkey.h"
#include "core/ownership/expiryqueue.h"
#include "core/ownership/handedrecord.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

enum class RecordState : std::uint8_t {
    // The claim is not acknowledged yet.
    Pending,
    // Claimed, and nothing runs.
    Ready,
    Running,
    // The answer is stored.
    Answered,
    // It may have run, and there is no answer.
    Unknown,
    // It did not run, and a caller was told so.
    Refused,
    // Another member may run it or keeps its answer.
    Held,
};

// A call that waits for a decision on its key.
struct WaitingCall
{
    CallId call = 0;
    NodeId from;
    TimePoint arrivedAt;
    TimePoint deadline;
    Duration retention{0};
    // When the forwarding node was first and last asked for the age of the copy.
    std::optional<TimePoint> checkedAt;
    TimePoint checkSentAt{};
    // The call was found to be younger than the last refusal.
    bool fresh = false;
};

struct Record
{
    RecordState state = RecordState::Pending;
    // Handed over by another member; its key is not claimed by this one.
    bool inherited = false;
    // The key is claimed only to be refused, because the table is nearly full.
    bool refuseOnly = false;
    TimePoint expiry;
    Duration retention{0};
    // Term and sending time of the last acknowledged claim; term 0 if none.
    std::uint64_t claimedTerm = 0;
    TimePoint claimedAt{};
    // Time of the last `not-run` refusal.
    std::optional<TimePoint> refusedAt;
    // For `Running`: the call whose answer will be stored.
    CallId runningCall = 0;
    // For `Held`.
    MemberId holder;
    std::uint64_t answerBytes = 0;
    std::vector<WaitingCall> waiting;
};

// Records of the keys that this member decided or inherited.
class RecordTable
{
public:
    Record *find(const RequestKey &key);
    Record &add(const RequestKey &key, TimePoint expiry, Duration retention);
    void setExpiry(const RequestKey &key, Record &record, TimePoint expiry);
    void erase(const RequestKey &key);
    // Keeps the answer's size and returns the keys of the oldest answers that no longer fit.
    std::vector<RequestKey> storeAnswer(const RequestKey &key, Record &record, std::uint64_t bytes, std::uint64_t bound);
    // Removes expired records; returns the keys whose stored answers are dropped.
    std::vector<RequestKey> expire(TimePoint now);
    void forEach(const std::function<void(const RequestKey &, Record &)> &visit);
    std::size_t size() const;

private:
    void forgetAnswer(Record &record);

    std::unordered_map<RequestKey, Record> m_records;
    ExpiryQueue<RequestKey> m_expiry;
    std::deque<RequestKey> m_answers;
    std::uint64_t m_answerBytes = 0;
};

} // namespace wisteriafork
