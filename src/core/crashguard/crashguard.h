#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/base/requestkey.h"
#include "core/crashguard/crashdetector.h"
#include "core/crashguard/crashguardoptions.h"
#include "core/crashguard/crashmessages.h"
#include "core/crashguard/suspecttable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace wisteriafork {

// What to do with a call before it is sent to the local backend server.
enum class CrashGuardDecision : std::uint8_t {
    // Not suspected.
    Run,
    // Suspected, and no other suspect is on this backend server: it may run now.
    RunAlone,
    // Suspected, and another suspect is on this backend server: keep it queued and ask again after that one has ended.
    Wait,
    // Was in flight at two crashes: refuse with `SuspectedOfCrash` and outcome `unknown`.
    Refuse,
};

// Finds requests that crash backend servers. The fingerprints in flight when a backend server's connections break together become suspects;
// they run at most one at a time on a server, are refused everywhere after a second crash, and are cleared by a completed run or after a
// time limit. One object per node, for the service of the local backend server. Not thread safe. See docs/crash-guard.md.
class CrashGuard
{
public:
    CrashGuard(CrashGuardOptions options, const Clock &clock);

    // Asks before a call is sent to the local backend server. `Run` and `RunAlone` count the call as in flight.
    CrashGuardDecision tryStart(CallId call, const RequestKey &fingerprint);
    // The call ended with a whole answer; clears its fingerprint.
    void onCompleted(CallId call);
    // The call ended without an answer and without a crash: refused, cancelled or timed out.
    void onAbandoned(CallId call);
    // The connection of a call broke. If all calls in flight break together, the backend server has crashed.
    void onConnectionBroken(CallId call);
    // A new connection to the backend server was refused. Shortly after a break it confirms a crash, also for a single call.
    void onConnectionRefused();

    // True if calls with the fingerprint are refused.
    bool isBanned(const RequestKey &fingerprint) const;

    void onReportsReceived(const CrashSuspects &message);
    // Reports to send to all other members of the service; empty if there are none. Call after each of the above and after each tick.
    std::optional<CrashSuspects> takeReports();
    // Everything known, for a member that starts.
    CrashSuspects allReports() const;
    // Call every 100 ms.
    void tick();

    std::size_t suspectCount() const;

private:
    bool suspectInFlight() const;
    void crashed(const std::vector<RequestKey> &fingerprints);

    const CrashGuardOptions m_options;
    const Clock &m_clock;
    CrashDetector m_detector;
    SuspectTable m_suspects;
    std::uint64_t m_crashes = 0;
};

} // namespace wisteriafork
