#include "core/relay/runningrequests.h"

namespace wisteriafork {

namespace {

// Separates the id of the request above from the part of the call.
constexpr char IdSeparator = '.';
// Time for which a call counts; routes may change what they call with a new version of their service.
constexpr Duration CalleeMemory = std::chrono::seconds(10);

} // namespace

RunningRequests::RunningRequests(const Clock &clock) : m_clock(clock)
{
}

void RunningRequests::onRequestStarted(const std::string &requestId, RunningRequest request)
{
    m_running.insert_or_assign(requestId, std::move(request));
}

void RunningRequests::onRequestEnded(const std::string &requestId)
{
    m_running.erase(requestId);
}

const RunningRequest *RunningRequests::parentOf(std::string_view callId) const
{
    const std::size_t separator = callId.rfind(IdSeparator);
    if (separator == std::string_view::npos) {
        return nullptr;
    }
    const auto found = m_running.find(std::string(callId.substr(0, separator)));
    return found == m_running.end() ? nullptr : &found->second;
}

void RunningRequests::onCallMade(const std::string &route, const std::string &callee)
{
    m_callees[route][callee] = m_clock.now();
}

std::vector<std::string> RunningRequests::calleesOf(const std::string &route) const
{
    std::vector<std::string> callees;
    if (const auto found = m_callees.find(route); found != m_callees.end()) {
        for (const auto &[callee, last] : found->second) {
            if (m_clock.now() - last < CalleeMemory) {
                callees.push_back(callee);
            }
        }
    }
    return callees;
}

} // namespace wisteriafork
