#include "core/crashguard/crashdetector.h"

#include <algorithm>

namespace wisteriafork {

CrashDetector::CrashDetector(const CrashGuardOptions &options) : m_options(options)
{
}

void CrashDetector::onCallStarted(CallId call, const RequestKey &fingerprint, TimePoint now)
{
    m_inFlight[call] = fingerprint;
    m_startTimes[call] = now;
}

std::optional<RequestKey> CrashDetector::onCallCompleted(CallId call)
{
    const auto found = m_inFlight.find(call);
    if (found == m_inFlight.end()) {
        return std::nullopt;
    }
    const RequestKey fingerprint = found->second;
    if (m_startTimes[call] <= m_firstBreakTime) {
        // The call was in flight when other connections broke, and its own connection survived: the backend server has not crashed.
        takeBrokenCalls();
    }
    removeCall(call);
    return fingerprint;
}

void CrashDetector::removeCall(CallId call)
{
    m_inFlight.erase(call);
    m_startTimes.erase(call);
}

void CrashDetector::onConnectionBroken(CallId call, bool suspected, TimePoint now)
{
    const auto found = m_inFlight.find(call);
    if (found == m_inFlight.end()) {
        return;
    }
    if (m_brokenCalls.empty() || now - m_firstBreakTime > m_options.crashWindow) {
        takeBrokenCalls();
        m_firstBreakTime = now;
    }
    m_brokenCalls.push_back(found->second);
    m_hasBrokenSuspect = m_hasBrokenSuspect || suspected;
    removeCall(call);
}

bool CrashDetector::awaitsConfirmation(TimePoint now) const
{
    const bool mayBeCrash = m_brokenCalls.size() > 1 || m_hasBrokenSuspect;
    return mayBeCrash && now - m_firstBreakTime <= m_options.confirmationTime
        && std::none_of(m_startTimes.begin(), m_startTimes.end(), [this](const auto &item) { return item.second <= m_firstBreakTime; });
}

void CrashDetector::onConnectionAccepted()
{
    takeBrokenCalls();
}

std::vector<RequestKey> CrashDetector::onConnectionRefused(TimePoint now)
{
    if (m_brokenCalls.empty() || now - m_firstBreakTime > m_options.confirmationTime) {
        return {};
    }
    return takeBrokenCalls();
}

const std::unordered_map<CallId, RequestKey> &CrashDetector::inFlight() const
{
    return m_inFlight;
}

std::vector<RequestKey> CrashDetector::takeBrokenCalls()
{
    m_hasBrokenSuspect = false;
    return std::exchange(m_brokenCalls, {});
}

} // namespace wisteriafork
