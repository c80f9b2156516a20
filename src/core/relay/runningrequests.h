#pragma once

#include "core/base/clock.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// A request that the local backend server runs, as its own calls inherit from it.
struct RunningRequest
{
    std::string route;
    // Rank of the caller's request at the top of the chain.
    unsigned priority = 0;
    // An earlier send of the request, or of one above it, reached an instance.
    bool repeat = false;
};

// The requests that the local backend server runs, by request id. A call of the backend server carries the id of the request that it is
// made for, followed by a separator and a part of its own; this tells it from requests of callers, and what it inherits. Not thread safe.
class RunningRequests
{
public:
    explicit RunningRequests(const Clock &clock);

    void onRequestStarted(const std::string &requestId, RunningRequest request);
    void onRequestEnded(const std::string &requestId);
    // The running request for which a call with this id is made; null if the request comes from a caller.
    const RunningRequest *parentOf(std::string_view callId) const;

    // A request of `route` made a call to `callee`.
    void onCallMade(const std::string &route, const std::string &callee);
    // Routes that were called lately for requests of a route.
    std::vector<std::string> calleesOf(const std::string &route) const;

private:
    const Clock &m_clock;
    std::unordered_map<std::string, RunningRequest> m_running;
    std::unordered_map<std::string, std::unordered_map<std::string, TimePoint>> m_callees;
};

} // namespace wisteriafork
