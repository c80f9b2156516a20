#pragma once

#include "core/base/clock.h"
#include "core/base/requestkey.h"
#include "core/crashguard/crashguardoptions.h"
#include "core/crashguard/crashmessages.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// Part of the reports of a table, in the order of the fingerprints.
struct SuspectPage
{
    std::vector<SuspectReport> reports;
    // Whether there are more after the last one.
    bool hasMore = false;
};

// States of the suspected fingerprints, merged from the crashes seen here and the reports of other nodes. Crashes have ids, so that a crash
// that is reported twice counts once. A completed call clears the crashes that are known at that time; the same crashes do not count
// again. Not thread safe.
class SuspectTable
{
public:
    explicit SuspectTable(const CrashGuardOptions &options);

    // Records that the fingerprint was in flight at a crash with the given id. The second crash bans it.
    void recordCrash(const RequestKey &fingerprint, std::uint64_t crashId, TimePoint now);
    // Clears a fingerprint after a completed call: the crashes known now no longer count.
    void clearSuspicion(const RequestKey &fingerprint, TimePoint now);
    // Merges the report of another node.
    void merge(const SuspectReport &report, TimePoint now);
    // Removes the fingerprints whose state has expired.
    void removeExpired(TimePoint now);

    bool isSuspected(const RequestKey &fingerprint) const;
    bool isBanned(const RequestKey &fingerprint) const;
    // True if the fingerprint is banned and may be tried again.
    bool isTrialDue(const RequestKey &fingerprint, TimePoint now) const;
    // Records a trial of a banned fingerprint. The next one is due after a longer delay.
    void startTrial(const RequestKey &fingerprint, TimePoint now);
    // Returns the reports to send now and schedules their repetition.
    std::vector<SuspectReport> takeDueReports(TimePoint now);
    // Returns the fingerprints that have become suspected, banned or cleared, or were in flight at a further crash, since the last call.
    std::vector<SuspectReport> takeChanges(TimePoint now);
    // Reports on all known fingerprints, which together make another table equal to this one. There may be two for one fingerprint.
    std::vector<SuspectReport> allReports(TimePoint now) const;
    // The same for the first `maximum` fingerprints after the given one, or of all.
    SuspectPage reportsAfter(const std::optional<RequestKey> &fingerprint, std::size_t maximum, TimePoint now) const;
    // Equal for tables that know the same crashes; 0 if no crash is known.
    std::uint64_t digest() const;
    // Number of known fingerprints in any state.
    std::size_t size() const;

private:
    struct Suspect
    {
        SuspectState state = SuspectState::Suspected;
        std::set<std::uint64_t> crashes;
        // Ids of crashes that no longer count, because a later call completed.
        std::set<std::uint64_t> clearedCrashes;
        TimePoint lastChange;
        // Time from which a banned fingerprint may be tried again.
        TimePoint nextTrial = TimePoint::min();
        // Number of reports still to send, and the time of the next one.
        unsigned reportsLeft = 0;
        TimePoint nextReport;
    };

    const Suspect *find(const RequestKey &fingerprint) const;
    // Sets the state by the crashes that count. `changeTime` is the time of the last of them.
    void updateState(const RequestKey &fingerprint, Suspect &suspect, TimePoint changeTime);
    // Time from a change of a banned fingerprint to its next trial, after this number of crashes.
    Duration trialDelay(std::size_t crashes) const;
    // Finds or inserts a fingerprint and sets the time of its last change. Drops the oldest fingerprint if the table is full.
    Suspect &findOrInsert(const RequestKey &fingerprint, TimePoint now);
    void scheduleReports(Suspect &suspect, TimePoint now) const;
    SuspectReport makeReport(const RequestKey &fingerprint, const Suspect &suspect, TimePoint now) const;
    // Adds what the table knows of a fingerprint: the crashes that no longer count, and those that do.
    void appendReports(const RequestKey &fingerprint, const Suspect &suspect, TimePoint now, std::vector<SuspectReport> &reports) const;
    void dropOldest();

    const CrashGuardOptions &m_options;
    std::unordered_map<RequestKey, Suspect> m_suspects;
    // Fingerprints whose state has changed since the last call of `takeChanges`.
    std::set<RequestKey> m_changed;
    // Empty after a change.
    mutable std::optional<std::uint64_t> m_digest;
};

} // namespace wisteriafork
