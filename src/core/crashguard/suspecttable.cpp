#include "core/crashguard/suspecttable.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <span>

namespace wisteriafork {

namespace {

// Number of crashes from which a fingerprint is banned.
constexpr std::size_t BanThresholdCrashes = 2;
// Bounds the growth of the delay of a trial, which has reached its maximum by then.
constexpr double MaxTrialExponent = 10.0;

std::uint64_t hashNumber(std::uint64_t number, std::uint64_t seed)
{
    std::array<char, sizeof(number)> bytes{};
    for (char &byte : bytes) {
        byte = static_cast<char>(number);
        number >>= 8U;
    }
    return hash64({bytes.data(), bytes.size()}, seed);
}

std::uint64_t suspectDigest(const RequestKey &fingerprint, const std::set<std::uint64_t> &crashes,
                            const std::set<std::uint64_t> &clearedCrashes)
{
    std::uint64_t digest = hashNumber(fingerprint.low, hashNumber(fingerprint.high, 0));
    for (const std::uint64_t crash : crashes) {
        digest = hashNumber(crash, digest);
    }
    digest = hashNumber(crashes.size(), digest);
    for (const std::uint64_t crash : clearedCrashes) {
        digest = hashNumber(crash, digest);
    }
    return digest;
}

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
    m_digest.reset();
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

void SuspectTable::updateState(const RequestKey &fingerprint, Suspect &suspect, TimePoint changeTime)
{
    m_digest.reset();
    if (suspect.crashes.size() >= BanThresholdCrashes) {
        suspect.state = SuspectState::Banned;
        // Crashes that are learned late do not bring a trial forward.
        suspect.nextTrial = std::max(suspect.nextTrial, changeTime + trialDelay(suspect.crashes.size()));
    } else {
        suspect.state = suspect.crashes.empty() ? SuspectState::Cleared : SuspectState::Suspected;
        suspect.nextTrial = TimePoint::min();
    }
    m_changed.insert(fingerprint);
}

void SuspectTable::recordCrash(const RequestKey &fingerprint, std::uint64_t crashId, TimePoint now)
{
    Suspect &suspect = findOrInsert(fingerprint, now);
    suspect.crashes.insert(crashId);
    updateState(fingerprint, suspect, now);
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
    updateState(fingerprint, suspect, now);
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
    if (report.crashes.empty()) {
        return;
    }
    const TimePoint changeTime = now - std::max(report.age, Duration(0));
    const auto known = m_suspects.find(report.fingerprint);
    Suspect &suspect = known != m_suspects.end() ? known->second : findOrInsert(report.fingerprint, changeTime);
    bool changed = false;
    bool counts = false;
    for (const std::uint64_t crashId : report.crashes) {
        if (report.state == SuspectState::Cleared) {
            changed = suspect.clearedCrashes.insert(crashId).second || changed;
            counts = suspect.crashes.erase(crashId) > 0 || counts;
        } else if (!suspect.clearedCrashes.contains(crashId)) {
            counts = suspect.crashes.insert(crashId).second || counts;
        }
    }
    if (!changed && !counts) {
        return;
    }
    suspect.lastChange = std::max(suspect.lastChange, changeTime);
    m_digest.reset();
    if (counts) {
        updateState(report.fingerprint, suspect, suspect.lastChange);
    } else if (suspect.crashes.empty()) {
        suspect.state = SuspectState::Cleared;
    }
}

void SuspectTable::removeExpired(TimePoint now)
{
    const auto expired = std::erase_if(m_suspects, [this, now](const auto &item) {
        const Duration lifetime = item.second.state == SuspectState::Banned ? m_options.banLifetime : m_options.suspicionLifetime;
        return now - item.second.lastChange >= lifetime;
    });
    if (expired > 0) {
        m_digest.reset();
    }
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
        m_digest.reset();
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

std::vector<SuspectReport> SuspectTable::takeChanges(TimePoint now)
{
    std::vector<SuspectReport> result;
    for (const RequestKey &fingerprint : std::exchange(m_changed, {})) {
        if (const Suspect *suspect = find(fingerprint)) {
            result.push_back(makeReport(fingerprint, *suspect, now));
        }
    }
    return result;
}

void SuspectTable::appendReports(const RequestKey &fingerprint, const Suspect &suspect, TimePoint now,
                                 std::vector<SuspectReport> &reports) const
{
    const Duration age = now - suspect.lastChange;
    if (!suspect.clearedCrashes.empty()) {
        reports.push_back({.fingerprint = fingerprint,
                           .state = SuspectState::Cleared,
                           .crashes = {suspect.clearedCrashes.begin(), suspect.clearedCrashes.end()},
                           .age = age});
    }
    if (!suspect.crashes.empty()) {
        reports.push_back(makeReport(fingerprint, suspect, now));
    }
}

std::vector<SuspectReport> SuspectTable::allReports(TimePoint now) const
{
    return reportsAfter(std::nullopt, m_suspects.size(), now).reports;
}

SuspectPage SuspectTable::reportsAfter(const std::optional<RequestKey> &fingerprint, std::size_t maximum, TimePoint now) const
{
    std::vector<RequestKey> keys;
    for (const auto &[key, suspect] : m_suspects) {
        if (!fingerprint || key > *fingerprint) {
            keys.push_back(key);
        }
    }
    const std::size_t count = std::min(maximum, keys.size());
    std::ranges::partial_sort(keys, keys.begin() + static_cast<std::ptrdiff_t>(count));
    SuspectPage page{.hasMore = count < keys.size()};
    for (const RequestKey &key : std::span(keys).first(count)) {
        appendReports(key, m_suspects.at(key), now, page.reports);
    }
    return page;
}

std::uint64_t SuspectTable::digest() const
{
    if (!m_digest) {
        // The sum does not depend on the order of the table.
        m_digest = 0;
        for (const auto &[fingerprint, suspect] : m_suspects) {
            if (!suspect.crashes.empty() || !suspect.clearedCrashes.empty()) {
                *m_digest += suspectDigest(fingerprint, suspect.crashes, suspect.clearedCrashes);
            }
        }
    }
    return *m_digest;
}

std::size_t SuspectTable::size() const
{
    return m_suspects.size();
}

} // namespace wisteriafork
