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
    std::vector<SuspectReport> allReports(TimePoint now) const;
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
        TimePoint nextTrial;
        // Number of reports still to send, and the time of the next one.
        unsigned reportsLeft = 0;
        TimePoint nextReport;
    };

    const Suspect *find(const RequestKey &fingerprint) const;
    // Sets the state by the crashes that count.
    void updateState(Suspect &suspect, TimePoint now) const;
    // Time from a change of a banned fingerprint to its next trial, after this number of crashes.
    Duration trialDelay(std::size_t crashes) const;
    // Finds or inserts a fingerprint and sets the time of its last change. Drops the oldest fingerprint if the table is full.
    Suspect &findOrInsert(const RequestKey &fingerprint, TimePoint now);
    void scheduleReports(Suspect &suspect, TimePoint now) const;
    SuspectReport makeReport(const RequestKey &fingerprint, const Suspect &suspect, TimePoint now) const;
    void dropOldest();

    const CrashGuardOptions &m_options;
    std::unordered_map<RequestKey, Suspect> m_suspects;
};

} // namespace wisteriafork
