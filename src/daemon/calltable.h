#pragma once

#include "daemon/callrecord.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// The calls that this node has not finished. A record stays until its call is answered or its caller is gone, and no attempt runs for it.
// Thread safe; first in the lock order.
class CallTable
{
public:
    // A started attempt.
    struct Attempt
    {
        CallId id = 0;
        AttemptKind kind = AttemptKind::None;
        NodeId peer;
        std::shared_ptr<ClientExchange> exchange;
    };

    // Adds the record under a new id, which is also set as its `call.id`.
    std::shared_ptr<CallRecord> add(CallRecord record);
    std::shared_ptr<CallRecord> find(CallId id) const;
    void noteCallerGone(CallId id);
    // True once for each call: the caller may be answered now.
    bool noteResponded(CallId id);

    // Starts an attempt and returns its number; empty if the call is unknown.
    std::optional<unsigned> beginAttempt(CallId id, AttemptKind kind, const NodeId &peer, TimePoint expiry);
    // Sets the exchange of an attempt that is still the current one.
    void setExchange(CallId id, unsigned number, std::shared_ptr<ClientExchange> exchange);
    // Ends an attempt with its answer, if there is one. False if it is not the current attempt any more; its result must then be ignored.
    bool endAttempt(CallId id, unsigned number, std::shared_ptr<const HttpResponse> answer);
    // Ends the current attempt of a call, if it is of this kind, and returns its exchange.
    std::shared_ptr<ClientExchange> abandonAttempt(CallId id, AttemptKind kind);
    // Ends and returns all attempts whose time is up.
    std::vector<Attempt> takeExpired(TimePoint now);
    // Removes the record if nothing has to be done for it any more.
    void eraseIfDone(CallId id);

    std::shared_ptr<const HttpResponse> answerOf(CallId id) const;
    std::size_t size() const;

private:
    CallRecord *findLocked(CallId id) const;

    mutable std::mutex m_mutex;
    std::unordered_map<CallId, std::shared_ptr<CallRecord>> m_calls;
    CallId m_lastId = 0;
};

} // namespace wisteriafork
