#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/base/requestkey.h"
#include "core/crashguard/crashguardoptions.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// Detects crashes of the local backend server and distinguishes them from single broken connections. Times are passed in. Not thread safe.
class CrashDetector
{
public:
    explicit CrashDetector(const CrashGuardOptions &options);

    // Records that a call was sent to the backend server.
    void onCallStarted(CallId call, const RequestKey &fingerprint, TimePoint now);
    // Records a complete response and returns the fingerprint of the call if it was in flight. If the call was already in flight when other
    // connections broke, the backend server has not crashed.
    std::optional<RequestKey> onCallCompleted(CallId call);
    // Removes a call that ended without a response and without a broken connection.
    void removeCall(CallId call);
    // Records that the connection of a call broke. Returns the fingerprints of all calls that broke together if this shows a crash,
    // otherwise none. A single call shows a crash only if its fingerprint was suspected or banned before.
    std::vector<RequestKey> onConnectionBroken(CallId call, bool suspected, TimePoint now);
    // Records that a new connection was refused. Shortly after a broken connection this shows a crash; returns the fingerprints of the
    // calls that broke, otherwise none.
    std::vector<RequestKey> onConnectionRefused(TimePoint now);
    // Fingerprints of the calls in flight.
    const std::unordered_map<CallId, RequestKey> &inFlight() const;

private:
    // Returns the fingerprints of the broken calls and forgets them.
    std::vector<RequestKey> takeBrokenCalls();

    const CrashGuardOptions &m_options;
    std::unordered_map<CallId, RequestKey> m_inFlight;
    std::unordered_map<CallId, TimePoint> m_startTimes;
    // Fingerprints of the calls whose connections broke within the crash window.
    std::vector<RequestKey> m_brokenCalls;
    TimePoint m_firstBreakTime{};
    bool m_hasBrokenSuspect = false;
};

} // namespace wisteriafork
