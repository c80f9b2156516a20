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

// What is known of suspected fingerprints in the whole service. Crashes have ids, so that a crash that is reported twice counts once, and a
// completed run annuls the crashes known at that time.
class SuspectTable
{
public:
    explicit SuspectTable(const CrashGuardOptions &options);

    void addCrash(const RequestKey &fingerprint, std::uint64_t crash, TimePoint now);
    void clear(const RequestKey &fingerprint, TimePoint now);
    void merge(const SuspectReport &report, TimePoint now);
    void expire(TimePoint now);

    bool suspected(const RequestKey &fingerprint) const;
    bool banned(const RequestKey &fingerprint) const;
    std::vector<SuspectReport> dueReports(TimePoint now);
    std::vector<SuspectReport> allReports(TimePoint now) const;
    std::size_t size() const;

private:
    struct Suspect
    {
        SuspectState state = SuspectState::Suspected;
        std::set<std::uint64_t> crashes;
        std::set<std::uint64_t> annulled;
        TimePoint changed;
        // Reports still to send, and when.
        unsigned reportsLeft = 0;
        TimePoint nextReport;
    };

    const Suspect *find(const RequestKey &fingerprint) const;
    Suspect &touch(const RequestKey &fingerprint, TimePoint now);
    void scheduleReports(Suspect &suspect, TimePoint now) const;
    SuspectReport report(const RequestKey &fingerprint, const Suspect &suspect, TimePoint now) const;
    void dropOldest();

    const CrashGuardOptions &m_options;
    std::unordered_map<RequestKey, Suspect> m_suspects;
};

} // namespace wisteriafork
