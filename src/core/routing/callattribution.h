#pragma once

#include "core/base/calldescription.h"
#include "core/base/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace wisteriafork {

// What the transport read from the headers of a call of the local backend server.
struct AttributionHints
{
    // `Wf-Request-Id`, empty if none.
    std::string_view requestId;
    // Trace id of `traceparent`, empty if none.
    std::string_view traceId;
};

// Maps calls of the local backend server to the call that it is running, so that they inherit class, deadline, tenant, caller and request
// hash, and share its attempts. Not thread safe.
class CallAttribution
{
public:
    CallAttribution();
    ~CallAttribution();
    CallAttribution(const CallAttribution &) = delete;
    CallAttribution &operator=(const CallAttribution &) = delete;

    // A call starts on the local backend server, with the attempts that were handed down with it and the number of calls below that its
    // operation makes (0 if unknown).
    void started(const CallDescription &call, std::string_view traceId, std::uint32_t expectedCalls);
    // The call has ended. Returns the time for which at least one of its calls was waited for.
    Duration finished(CallId id, TimePoint now);

    // The running call has made calls, so the backend server has begun to run it.
    bool hasCalledBelow(CallId id) const;

    // Fills in `child`, a call of the local backend server. Returns the id of the call that it belongs to, or 0 if it is not known: then
    // the call is internal, has a single attempt and keeps the deadline that it came with.
    CallId attribute(CallDescription &child, const AttributionHints &hints, TimePoint now);
    // The call below was answered or given up.
    void childEnded(CallId child, TimePoint now);

    // Operation of the running call that a child belongs to; empty if it is not known.
    OperationId parentOperation(CallId child) const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace wisteriafork
