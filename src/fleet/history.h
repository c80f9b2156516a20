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
    TimePoint sentAt;
    // The node that the caller sent it to was killed or frozen before the caller had a response.
    bool entryNodeFailed = false;
    // Responses received; more than one violates an invariant.
    unsigned responses = 0;
    // Status, body and time of the last response.
    unsigned status = 0;
    std::string body;
    TimePoint respondedAt{};
    // The caller gave up waiting and closed its connection at `cancelledAt`.
    bool cancelled = false;
    TimePoint cancelledAt{};
};

// One execution of a request on a backend server, recorded at its start.
struct Execution
{
    std::string id;
    std::string service;
    std::string instance;
    TimePoint startedAt;
    // Time until the deadline in milliseconds, as the sender stated it.
    std::int64_t remainingMs = 0;
};

// One request of a caller. Each of its attempts has an id of its own.
struct CallerRequest
{
    // Crashes the backend servers of the last service.
    bool crashesServers = false;
    TimePoint startedAt;
    bool succeeded = false;
};

// What callers and backend servers saw in one simulation; the input of the invariant checks.
struct History
{
    // By request id.
    std::map<std::string, CallerAttempt> attempts;
    std::vector<Execution> executions;
    std::vector<CallerRequest> requests;
    // By target of a crashing request: the times at which it crashed a backend server.
    std::map<std::string, std::vector<TimePoint>> crashes;
    // By instance: the time by which all nodes know that it is draining.
    std::map<std::string, TimePoint> drainKnownAt;
};

} // namespace wisteriafork::fleet
