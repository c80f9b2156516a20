#pragma once

#include "core/base/callclass.h"
#include "core/base/clock.h"
#include "core/base/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

// One operation of a service. A request belongs to the operation with its method and the longest path prefix that matches its path.
struct OperationConfiguration
{
    OperationId id;
    std::string method;
    std::string pathPrefix;
    CallClass callClass = CallClass::Read;
    // Whether executing a request twice has the same effect as executing it once.
    bool idempotent = true;
    // Time for which callers wait for a response.
    std::chrono::milliseconds callerWait{10000};
    // Response time up to which a response is fully useful to the caller.
    std::chrono::milliseconds targetLatency{10000};
    // Services that the operation calls directly.
    std::vector<ServiceId> calls;

    friend bool operator==(const OperationConfiguration &, const OperationConfiguration &) = default;
};

// One service of the call graph.
struct ServiceConfiguration
{
    ServiceId id;
    // Prefix of the paths that belong to the service, for example "/registar/".
    std::string pathPrefix;
    // Number of requests that one instance executes concurrently.
    unsigned slots = 1;
    // Number of connections that one instance accepts concurrently.
    unsigned connections = 1;
    std::vector<OperationConfiguration> operations;

    friend bool operator==(const ServiceConfiguration &, const ServiceConfiguration &) = default;
};

// Configuration of a service call graph, generated from the questionnaire. Immutable once in force.
struct Configuration
{
    // Increases with each published configuration; 0 means that there is no configuration.
    std::uint64_t version = 0;
    std::string name;
    // Host name that callers use to reach the services; if empty, every host name matches.
    std::string host;
    // Failure domains of the instances.
    std::vector<DomainId> domains;
    std::vector<ServiceConfiguration> services;
    // Customers of the platform that share the services; request outcomes are counted per workspace.
    std::vector<WorkspaceId> workspaces;

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

} // namespace wisteriafork
