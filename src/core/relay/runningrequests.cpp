#include "core/relay/runningrequests.h"

namespace wisteriafork {

namespace {

// Separates the id of the parent request from the own part of a call id.
constexpr char IdSeparator = '.';
// Time after the last call for which a route counts as called. A new version of a service may call other routes.
constexpr Duration CalleeLifetime = std::chrono::seconds(10);

} // namespace

RunningRequests::RunningRequests(const Clock &clock) : m_clock(clock)
{
}

void RunningRequests::onRequestStarted(const std::string &requestId, RunningRequest request)
{
    m_requestById.insert_or_assign(requestId, std::move(request));
}

void RunningRequests::onRequestEnded(const std::string &requestId)
{
    m_requestById.erase(requestId);
}

const RunningRequest *RunningRequests::parentOf(std::string_view callId) const
{
    const std::size_t separator = callId.rfind(IdSeparator);
    if (separator == std::string_view::npos) {
        return nullptr;
    }
    const auto found = m_requestById.find(std::string(callId.substr(0, separator)));
    return found == m_requestById.end() ? nullptr : &found->second;
}

void RunningRequests::onCallMade(const std::string &route, const std::string &callee)
{
    m_lastCallByRoute[route][callee] = m_clock.now();
}

std::vector<std::string> RunningRequests::calleesOf(const std::string &route) const
{
    std::vector<std::string> callees;
    if (const auto found = m_lastCallByRoute.find(route); found != m_lastCallByRoute.end()) {
        for (const auto &[callee, lastCall] : found->second) {
            if (m_clock.now() - lastCall < CalleeLifetime) {
                callees.push_back(callee);
            }
        }
    }
    return callees;
}

} // namespace wisteriafork
