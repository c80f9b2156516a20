#pragma once

#include "core/base/callclass.h"
#include "core/base/clock.h"
#include "core/base/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

// One operation of a service, recognised by method and path prefix. The longest matching prefix wins.
struct OperationConfiguration
{
    OperationId id;
    std::string method;
    std::string pathPrefix;
    CallClass callClass = CallClass::Read;
    bool idempotent = true;
    // How long callers wait for an answer.
    std::chrono::milliseconds callerWait{10000};
    // Time within which an answer is fully useful.
    std::chrono::milliseconds targetLatency{10000};
    // Services that the operation calls, directly.
    std::vector<ServiceId> calls;

    friend bool operator==(const OperationConfiguration &, const OperationConfiguration &) = default;
};

struct ServiceConfiguration
{
    ServiceId id;
    // Path prefix that leads to the service, for example "/registar/".
    std::string pathPrefix;
    // Requests that one instance runs at the same time.
    unsigned slots = 1;
    // Connections that one instance accepts.
    unsigned connections = 1;
    std::vector<OperationConfiguration> operations;

    friend bool operator==(const ServiceConfiguration &, const ServiceConfiguration &) = default;
};

// Configuration of a service call graph, generated from the questionnaire. Immutable once in force.
struct Configuration
{
    // Grows with each published configuration; 0 means none.
    std::uint64_t version = 0;
    std::string name;
    // Host name under which callers reach the services; empty for every host name.
    std::string host;
    std::vector<DomainId> domains;
    std::vector<ServiceConfiguration> services;
    // Customers of the platform that share the services; outcomes are counted for each.
    std::vector<WorkspaceId> workspaces;

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

} // namespace wisteriafork
