#pragma once

#include "core/base/clock.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// The properties of a request on the local backend server that its calls inherit.
struct RunningRequest
{
    std::string route;
    // Priority of the original request of the caller; 0 is the most urgent.
    unsigned priority = 0;
    // Whether an earlier attempt of the request, or of one of its parents, reached an instance.
    bool isRetry = false;
    // Workspace of the original request; empty if there is none.
    std::string workspace;
};

// The requests that the local backend server runs, by request id, and the routes that they call. A call id consists of the id of its parent
// request, a separator and a part of its own. It distinguishes calls from requests of callers and identifies the parent request. Not
// thread safe.
class RunningRequests
{
public:
    explicit RunningRequests(const Clock &clock);

    void onRequestStarted(const std::string &requestId, RunningRequest request);
    void onRequestEnded(const std::string &requestId);
    // Running request for which the call with this id is made; null if the id belongs to a request of a caller.
    const RunningRequest *parentOf(std::string_view callId) const;

    // Records that a request of `route` called the route `callee`.
    void onCallMade(const std::string &route, const std::string &callee);
    // Routes that requests of `route` called within the last 10 s.
    std::vector<std::string> calleesOf(const std::string &route) const;

private:
    const Clock &m_clock;
    std::unordered_map<std::string, RunningRequest> m_requestById;
    // Time of the last call, by the calling and the called route.
    std::unordered_map<std::string, std::unordered_map<std::string, TimePoint>> m_lastCallByRoute;
};

} // namespace wisteriafork
