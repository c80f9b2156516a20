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
    // The fingerprint is not suspected.
    Run,
    // The fingerprint is suspected, and no other suspect runs on this backend server: send the call.
    RunAlone,
    // The fingerprint is suspected, and another suspect runs on this backend server: try again after that call has ended.
    Wait,
    // The fingerprint was in flight at two crashes: refuse the call with `SuspectedOfCrash` and outcome `unknown`.
    Refuse,
};

// Detects requests that crash backend servers and keeps them from crashing more. When the connections to a backend server break together,
// the fingerprints of the calls in flight become suspects. A backend server runs at most one suspect at a time. A fingerprint is refused
// after a second crash, except for single trials at growing intervals, and cleared by a completed call or after a time limit. One object
// per node, for the local backend server. The objects of several nodes exchange reports, so that each also counts the crashes that the
// others saw; the user of the class sends them and chooses the nodes that get them. Not thread safe. See docs/crash-guard.md.
class CrashGuard
{
public:
    CrashGuard(CrashGuardOptions options, const Clock &clock);

    // Decides whether a call may be sent to the local backend server. `Run` and `RunAlone` record the call as in flight.
    // `isTrialServer` says that this backend server is the one on which a banned fingerprint may be tried again.
    CrashGuardDecision tryStart(CallId call, const RequestKey &fingerprint, bool isTrialServer = false);
    // Records that a call ended with a complete response, and clears its fingerprint.
    void onCompleted(CallId call);
    // Records that a call ended without a response and without a crash: refused, cancelled or timed out.
    void onAbandoned(CallId call);
    // Records that the backend server closed the connection of a call before the end of its response.
    void onConnectionBroken(CallId call);
    // True if a new connection has to show whether the backend server has crashed: open one, and report its outcome.
    bool awaitsConfirmation() const;
    // Records that a new connection to the backend server was refused. Shortly after a broken connection this confirms a crash, even if
    // only one call was in flight.
    void onConnectionRefused();
    // Records that a new connection was accepted: connections that broke before were no crash.
    void onConnectionAccepted();

    // True if calls with the fingerprint are refused.
    bool isBanned(const RequestKey &fingerprint) const;
    // True if the fingerprint is banned and one call with it may be sent to the trial server, see `trialServer`.
    bool isTrialDue(const RequestKey &fingerprint) const;

    // Merges the reports of another node.
    void onReportsReceived(const CrashSuspects &message);
    // Returns the reports to send now to the other nodes; empty if there are none. Call after each function above and after each tick.
    std::optional<CrashSuspects> takeReports();
    // Returns the fingerprints whose state has changed here since the last call, by crashes, completed calls or reports, for logs.
    std::vector<SuspectReport> takeChanges();
    // All that is known, for a node that knows less.
    CrashSuspects allReports() const;
    // The same for the first `maximum` fingerprints after the given one, or of all.
    SuspectPage reportsAfter(const std::optional<RequestKey> &fingerprint, std::size_t maximum) const;
    // Equal for nodes that know the same crashes; 0 if no crash is known.
    std::uint64_t digest() const;
    // Removes suspects and bans that have expired. Call every 100 ms.
    void tick();

    // Number of known fingerprints: suspected, banned and cleared ones.
    std::size_t suspectCount() const;

private:
    bool hasSuspectInFlight() const;
    // Records a crash with these fingerprints in flight; does nothing without fingerprints.
    void recordCrash(const std::vector<RequestKey> &fingerprints);

    const CrashGuardOptions m_options;
    const Clock &m_clock;
    CrashDetector m_detector;
    SuspectTable m_suspects;
    std::uint64_t m_crashCount = 0;
};

} // namespace wisteriafork
