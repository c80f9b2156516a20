#pragma once

#include "core/base/clock.h"
#include "core/ownership/copymessages.h"

#include <unordered_map>

namespace wisteriafork {

// The non-idempotent calls that are open at an edge node, of any service, with their arrival times. It answers the check by which an owner
// tells a new copy of a refused request from a late one. One per node; not thread safe.
class OpenCopies
{
public:
    explicit OpenCopies(const Clock &clock);

    // Call on every tick of the node (100 ms).
    void tick();

    // Registers a call that arrived from a caller or from the local backend server. Returns its arrival time, which is the begin of
    // the pause if the process was paused until just now, because the call may have waited in a socket buffer.
    TimePoint opened(CallId call, const RequestKey &key);
    void closed(CallId call);

    CopyChecked answer(const CopyCheck &check) const;

private:
    struct Copy
    {
        RequestKey key;
        TimePoint arrivedAt;
    };

    const Clock &m_clock;
    TimePoint m_lastTick;
    // Begin and end of the last pause.
    TimePoint m_pausedAt;
    TimePoint m_resumedAt;
    std::unordered_map<CallId, Copy> m_copies;
    std::unordered_multimap<RequestKey, CallId> m_byKey;
};

} // namespace wisteriafork
