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
    // Records that the backend server closed the connection of a call before the end of its response. This alone is no crash: connections
    // are also reset, and responses broken off, by a backend server that runs.
    // `suspected` says that its fingerprint was in flight at a crash before.
    void onConnectionBroken(CallId call, bool suspected, TimePoint now);
    // True if several calls or a suspected one broke, and all that were in flight then, so that a new connection has to show whether the
    // backend server still runs.
    bool awaitsConfirmation(TimePoint now) const;
    // Records that a new connection was refused. Shortly after a broken connection this shows a crash; returns the fingerprints of the
    // calls that broke, otherwise none.
    std::vector<RequestKey> onConnectionRefused(TimePoint now);
    // Records that a new connection was accepted: the backend server has not crashed.
    void onConnectionAccepted();
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
