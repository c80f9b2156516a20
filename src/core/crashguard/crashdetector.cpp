#include "core/crashguard/crashdetector.h"

#include <algorithm>

namespace wisteriafork {

CrashDetector::CrashDetector(const CrashGuardOptions &options) : m_options(options)
{
}

void CrashDetector::started(CallId call, const RequestKey &fingerprint, TimePoint now)
{
    m_inFlight[call] = fingerprint;
    m_startedAt[call] = now;
}

std::optional<RequestKey> CrashDetector::completed(CallId call)
{
    const auto found = m_inFlight.find(call);
    if (found == m_inFlight.end()) {
        return std::nullopt;
    }
    const RequestKey fingerprint = found->second;
    if (m_startedAt[call] <= m_firstBreak) {
        // It was in flight when the connections broke, and its own did not: the backend server has not crashed.
        takeBroken();
    }
    abandoned(call);
    return fingerprint;
}

void CrashDetector::abandoned(CallId call)
{
    m_inFlight.erase(call);
    m_startedAt.erase(call);
}

std::vector<RequestKey> CrashDetector::broken(CallId call, bool suspected, TimePoint now)
{
    const auto found = m_inFlight.find(call);
    if (found == m_inFlight.end()) {
        return {};
    }
    if (m_broken.empty() || now - m_firstBreak > m_options.crashWindow) {
        takeBroken();
        m_firstBreak = now;
    }
    m_broken.push_back(found->second);
    m_suspectBroken = m_suspectBroken || suspected;
    abandoned(call);
    const bool othersAlive
        = std::any_of(m_startedAt.begin(), m_startedAt.end(), [this](const auto &item) { return item.second <= m_firstBreak; });
    if (!othersAlive && (m_broken.size() > 1 || m_suspectBroken)) {
        return takeBroken();
    }
    return {};
}

std::vector<RequestKey> CrashDetector::refused(TimePoint now)
{
    if (m_broken.empty() || now - m_firstBreak > m_options.confirmTime) {
        return {};
    }
    return takeBroken();
}

const std::unordered_map<CallId, RequestKey> &CrashDetector::inFlight() const
{
    return m_inFlight;
}

std::vector<RequestKey> CrashDetector::takeBroken()
{
    m_suspectBroken = false;
    return std::exchange(m_broken, {});
}

} // namespace wisteriafork
