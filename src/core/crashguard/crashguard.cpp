#include "core/crashguard/crashguard.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <set>

namespace wisteriafork {

CrashGuard::CrashGuard(CrashGuardOptions options, const Clock &clock)
    : m_options(std::move(options)), m_clock(clock), m_detector(m_options), m_suspects(m_options)
{
}

CrashGuardDecision CrashGuard::tryStart(CallId call, const RequestKey &fingerprint, bool isTrialServer)
{
    const bool banned = m_suspects.isBanned(fingerprint);
    if (banned && !(isTrialServer && isTrialDue(fingerprint))) {
        return CrashGuardDecision::Refuse;
    }
    const bool suspected = banned || m_suspects.isSuspected(fingerprint);
    if (suspected && m_options.suspectsRunAlone && hasSuspectInFlight()) {
        return CrashGuardDecision::Wait;
    }
    if (banned) {
        m_suspects.startTrial(fingerprint, m_clock.now());
    }
    m_detector.onCallStarted(call, fingerprint, m_clock.now());
    return suspected ? CrashGuardDecision::RunAlone : CrashGuardDecision::Run;
}

bool CrashGuard::hasSuspectInFlight() const
{
    const auto &inFlight = m_detector.inFlight();
    return std::any_of(inFlight.begin(), inFlight.end(),
                       [this](const auto &call) { return m_suspects.isSuspected(call.second) || m_suspects.isBanned(call.second); });
}

void CrashGuard::onCompleted(CallId call)
{
    if (const auto fingerprint = m_detector.onCallCompleted(call)) {
        m_suspects.clearSuspicion(*fingerprint, m_clock.now());
    }
}

void CrashGuard::onAbandoned(CallId call)
{
    m_detector.removeCall(call);
}

void CrashGuard::onConnectionBroken(CallId call)
{
    const auto found = m_detector.inFlight().find(call);
    if (found != m_detector.inFlight().end()) {
        const bool suspected = m_suspects.isSuspected(found->second) || m_suspects.isBanned(found->second);
        m_detector.onConnectionBroken(call, suspected, m_clock.now());
    }
}

bool CrashGuard::awaitsConfirmation() const
{
    return m_detector.awaitsConfirmation(m_clock.now());
}

void CrashGuard::onConnectionAccepted()
{
    m_detector.onConnectionAccepted();
}

void CrashGuard::onConnectionRefused()
{
    recordCrash(m_detector.onConnectionRefused(m_clock.now()));
}

void CrashGuard::recordCrash(const std::vector<RequestKey> &fingerprints)
{
    if (fingerprints.empty()) {
        return;
    }
    const std::uint64_t crashId = hash64(m_options.self.value(), m_options.incarnation * 1'000'003 + ++m_crashCount);
    for (const RequestKey &fingerprint : std::set<RequestKey>(fingerprints.begin(), fingerprints.end())) {
        m_suspects.recordCrash(fingerprint, crashId, m_clock.now());
    }
}

bool CrashGuard::isBanned(const RequestKey &fingerprint) const
{
    return m_suspects.isBanned(fingerprint);
}

bool CrashGuard::isTrialDue(const RequestKey &fingerprint) const
{
    return m_suspects.isTrialDue(fingerprint, m_clock.now());
}

void CrashGuard::onReportsReceived(const CrashSuspects &message)
{
    for (const SuspectReport &report : message.suspects) {
        m_suspects.merge(report, m_clock.now());
    }
}

std::optional<CrashSuspects> CrashGuard::takeReports()
{
    std::vector<SuspectReport> reports = m_suspects.takeDueReports(m_clock.now());
    if (reports.empty()) {
        return std::nullopt;
    }
    return CrashSuspects{.suspects = std::move(reports)};
}

std::vector<SuspectReport> CrashGuard::takeChanges()
{
    return m_suspects.takeChanges(m_clock.now());
}

SuspectPage CrashGuard::reportsAfter(const std::optional<RequestKey> &fingerprint, std::size_t maximum) const
{
    return m_suspects.reportsAfter(fingerprint, maximum, m_clock.now());
}

std::uint64_t CrashGuard::digest() const
{
    return m_suspects.digest();
}

CrashSuspects CrashGuard::allReports() const
{
    return {.suspects = m_suspects.allReports(m_clock.now())};
}

void CrashGuard::tick()
{
    m_suspects.removeExpired(m_clock.now());
}

std::size_t CrashGuard::suspectCount() const
{
    return m_suspects.size();
}

} // namespace wisteriafork
