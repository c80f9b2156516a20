#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/base/requestkey.h"
#include "core/crashguard/crashguardoptions.h"
#include "core/crashguard/crashmessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// What to do with a call before it is sent to the local backend server.
enum class CrashVerdict : std::uint8_t {
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
// time limit. One object per node, for the service of the local backend server. Not thread safe.
class CrashGuard
{
public:
    CrashGuard(CrashGuardOptions options, const Clock &clock);

    // Asks before a call is sent to the local backend server. `Run` and `RunAlone` count the call as in flight.
    CrashVerdict start(CallId call, const RequestKey &fingerprint);
    // The call ended with a whole answer; clears its fingerprint.
    void completed(CallId call);
    // The call ended without an answer and without a crash: refused, cancelled or timed out.
    void abandoned(CallId call);
    // The connection of a call broke. Several within the crash window count as one crash of the backend server.
    void connectionBroken(CallId call);
    // A new connection to the backend server was refused, which confirms a crash when a single call was in flight.
    void connectionRefused();

    // True if calls with the fingerprint are refused; an edge node asks before it forwards.
    bool banned(const RequestKey &fingerprint) const;

    void receive(const CrashSuspects &message);
    // Reports that the peers do not have yet, for all members of the service; empty if there is none. Call after each of the above.
    std::optional<CrashSuspects> takeReports();
    // Everything known, for a member that starts.
    CrashSuspects allReports() const;
    // Call every 100 ms.
    void tick();

    std::size_t suspectCount() const;

private:
    struct Suspect
    {
        SuspectState state = SuspectState::Suspected;
        std::set<std::uint64_t> crashes;
        TimePoint changed;
    };

    const CrashGuardOptions m_options;
    const Clock &m_clock;
    std::unordered_map<RequestKey, Suspect> m_suspects;
    std::unordered_map<CallId, RequestKey> m_inFlight;
};

} // namespace wisteriafork
