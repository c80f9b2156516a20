#include "core/crashguard/suspecttable.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

// Number of crashes from which a fingerprint is banned.
constexpr std::size_t BanThresholdCrashes = 2;
// Bounds the growth of the delay of a trial, which has reached its maximum by then.
constexpr double MaxTrialExponent = 10.0;

} // namespace

SuspectTable::SuspectTable(const CrashGuardOptions &options) : m_options(options)
{
}

const SuspectTable::Suspect *SuspectTable::find(const RequestKey &fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() ? nullptr : &found->second;
}

SuspectTable::Suspect &SuspectTable::findOrInsert(const RequestKey &fingerprint, TimePoint now)
{
    if (!m_suspects.contains(fingerprint) && m_suspects.size() >= m_options.maximumSuspects) {
        dropOldest();
    }
    Suspect &suspect = m_suspects[fingerprint];
    suspect.lastChange = now;
    return suspect;
}

void SuspectTable::scheduleReports(Suspect &suspect, TimePoint now) const
{
    suspect.reportsLeft = 1 + m_options.reportRepeats;
    suspect.nextReport = now;
}

Duration SuspectTable::trialDelay(std::size_t crashes) const
{
    const double exponent = static_cast<double>(crashes) - static_cast<double>(BanThresholdCrashes);
    const double factor = std::pow(m_options.trialDelayFactor, std::clamp(exponent, 0.0, MaxTrialExponent));
    return std::min<Duration>(m_options.banLifetime, std::chrono::duration_cast<Duration>(m_options.firstTrialDelay * factor));
}

void SuspectTable::updateState(Suspect &suspect, TimePoint now) const
{
    if (suspect.crashes.size() >= BanThresholdCrashes) {
        suspect.state = SuspectState::Banned;
        suspect.nextTrial = now + trialDelay(suspect.crashes.size());
    } else {
        suspect.state = suspect.crashes.empty() ? SuspectState::Cleared : SuspectState::Suspected;
    }
}

void SuspectTable::recordCrash(const RequestKey &fingerprint, std::uint64_t crashId, TimePoint now)
{
    Suspect &suspect = findOrInsert(fingerprint, now);
    suspect.crashes.insert(crashId);
    updateState(suspect, now);
    scheduleReports(suspect, now);
}

void SuspectTable::clearSuspicion(const RequestKey &fingerprint, TimePoint now)
{
    const Suspect *known = find(fingerprint);
    if (known == nullptr || known->state == SuspectState::Cleared) {
        return;
    }
    Suspect &suspect = findOrInsert(fingerprint, now);
    suspect.clearedCrashes.merge(suspect.crashes);
    suspect.crashes.clear();
    updateState(suspect, now);
    scheduleReports(suspect, now);
}

bool SuspectTable::isTrialDue(const RequestKey &fingerprint, TimePoint now) const
{
    const Suspect *suspect = find(fingerprint);
    return suspect != nullptr && suspect->state == SuspectState::Banned && now >= suspect->nextTrial;
}

void SuspectTable::startTrial(const RequestKey &fingerprint, TimePoint now)
{
    Suspect &suspect = m_suspects[fingerprint];
    suspect.nextTrial = now + trialDelay(suspect.crashes.size() + 1);
}

void SuspectTable::merge(const SuspectReport &report, TimePoint now)
{
    const Suspect *known = find(report.fingerprint);
    const bool wasBanned = known != nullptr && known->state == SuspectState::Banned;
    Suspect &suspect = known != nullptr ? m_suspects[report.fingerprint] : findOrInsert(report.fingerprint, now - report.age);
    bool changed = known == nullptr;
    for (const std::uint64_t crashId : report.crashes) {
        if (report.state == SuspectState::Cleared) {
            suspect.clearedCrashes.insert(crashId);
            changed = suspect.crashes.erase(crashId) > 0 || changed;
        } else if (!suspect.clearedCrashes.contains(crashId) && suspect.crashes.insert(crashId).second) {
            suspect.lastChange = now - report.age;
            changed = true;
        }
    }
    if (!changed) {
        return;
    }
    updateState(suspect, now - report.age);
    if (wasBanned != (suspect.state == SuspectState::Banned)) {
        // A ban and its end are reported further, for nodes that the first reporter cannot reach.
        scheduleReports(suspect, now);
    }
}

void SuspectTable::removeExpired(TimePoint now)
{
    std::erase_if(m_suspects, [this, now](const auto &item) {
        const Duration lifetime = item.second.state == SuspectState::Banned ? m_options.banLifetime : m_options.suspicionLifetime;
        return now - item.second.lastChange >= lifetime;
    });
}

void SuspectTable::dropOldest()
{
    const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &first, const auto &second) {
        const bool firstBanned = first.second.state == SuspectState::Banned;
        const bool secondBanned = second.second.state == SuspectState::Banned;
        return firstBanned != secondBanned ? secondBanned : first.second.lastChange < second.second.lastChange;
    });
    if (oldest != m_suspects.end()) {
        m_suspects.erase(oldest);
    }
}

bool SuspectTable::isSuspected(const RequestKey &fingerprint) const
{
    const Suspect *suspect = find(fingerprint);
    return suspect != nullptr && suspect->state == SuspectState::Suspected;
}

bool SuspectTable::isBanned(const RequestKey &fingerprint) const
{
    const Suspect *suspect = find(fingerprint);
    return suspect != nullptr && suspect->state == SuspectState::Banned;
}

SuspectReport SuspectTable::makeReport(const RequestKey &fingerprint, const Suspect &suspect, TimePoint now) const
{
    const std::set<std::uint64_t> &crashes = suspect.state == SuspectState::Cleared ? suspect.clearedCrashes : suspect.crashes;
    return {
        .fingerprint = fingerprint, .state = suspect.state, .crashes = {crashes.begin(), crashes.end()}, .age = now - suspect.lastChange};
}

std::vector<SuspectReport> SuspectTable::takeDueReports(TimePoint now)
{
    std::vector<SuspectReport> result;
    for (auto &[fingerprint, suspect] : m_suspects) {
        if (suspect.reportsLeft > 0 && now >= suspect.nextReport) {
            --suspect.reportsLeft;
            suspect.nextReport = now + m_options.reportInterval;
            result.push_back(makeReport(fingerprint, suspect, now));
        }
    }
    return result;
}

std::vector<SuspectReport> SuspectTable::allReports(TimePoint now) const
{
    std::vector<SuspectReport> result;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        result.push_back(makeReport(fingerprint, suspect, now));
    }
    return result;
}

std::size_t SuspectTable::size() const
{
    return m_suspects.size();
}

} // namespace wisteriafork
