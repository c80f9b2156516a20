#pragma once

#include "core/base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriafork::fleet {

// One attempt of a caller, as the caller sees it.
struct CallerAttempt
{
    bool idempotent = false;
    TimePoint sent;
    // The host at which it entered was killed or stood still while it was open.
    bool disturbed = false;
    unsigned answers = 0;
    unsigned status = 0;
    std::string body;
    TimePoint answered{};
    bool left = false;
    TimePoint leftAt{};
};

// One start of a request on a backend server.
struct Execution
{
    std::string id;
    std::string service;
    std::string instance;
    TimePoint at;
    // Milliseconds that the sender says are left.
    std::int64_t remaining = 0;
};

// One request that callers send until it is answered; its attempts have ids of their own.
struct CallerRequest
{
    bool poisoned = false;
    TimePoint begun;
    bool succeeded = false;
};

// What callers and backend servers saw in one run of the model; the invariant checks read nothing else.
struct History
{
    std::map<std::string, CallerAttempt> attempts;
    std::vector<Execution> executions;
    std::vector<CallerRequest> requests;
    // Times at which each poisoned target crashed a backend server.
    std::map<std::string, std::vector<TimePoint>> crashes;
    // Instances and the moment from which all nodes knew that they had left.
    std::map<std::string, TimePoint> leftList;
};

} // namespace wisteriafork::fleet
