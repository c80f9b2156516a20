#pragma once

#include "core/base/callclass.h"
#include "core/base/clock.h"
#include "core/base/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

// What identifies one request of a caller. An `Idempotency-Key` header always counts; the rest applies to callers that send none.
struct RequestIdentity
{
    // Request headers whose values are part of the identity, lower case.
    std::vector<std::string> headers;
    // JSON pointers of the body fields that are part of the identity.
    std::vector<std::string> bodyFields;

    friend bool operator==(const RequestIdentity &, const RequestIdentity &) = default;
};

// One operation of a service, recognised by method and path prefix. The longest matching prefix wins.
struct OperationConfiguration
{
    OperationId id;
    std::string method;
    std::string pathPrefix;
    CallClass callClass = CallClass::Read;
    bool idempotent = true;
    RequestIdentity identity;
    // How long callers wait for an answer.
    std::chrono::milliseconds callerWait{10000};
    // How long old clients keep resending after the first send.
    std::chrono::milliseconds resendTime{60000};
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

// A customer group that shares the services; its share counts when capacity is scarce.
struct TenantConfiguration
{
    TenantId id;
    // Relative weight, greater than zero.
    double weight = 1.0;

    friend bool operator==(const TenantConfiguration &, const TenantConfiguration &) = default;
};

// Bounds on the environment that the at-most-once rules rely on.
struct EnvironmentBounds
{
    // Longest pause of a process after which its late messages may still arrive.
    std::chrono::milliseconds pauseBound{30000};
    // Longest lag of the host list.
    std::chrono::milliseconds hostListLag{30000};
    // Silence of a witness after which an owner stops claiming; longer than the hour for which regions lose each other.
    std::chrono::milliseconds isolationBound{std::chrono::hours(2)};

    friend bool operator==(const EnvironmentBounds &, const EnvironmentBounds &) = default;
};

// Configuration of a service call graph, generated from the questionnaire. Immutable once in force.
struct Configuration
{
    // Grows with each published configuration; 0 means none.
    std::uint64_t version = 0;
    std::string name;
    std::vector<DomainId> domains;
    std::vector<ServiceConfiguration> services;
    std::vector<TenantConfiguration> tenants;
    EnvironmentBounds bounds;

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

// Time for which a request key is remembered: resend time, waiting time of callers and pause bound.
std::chrono::milliseconds retentionTime(const OperationConfiguration &operation, const EnvironmentBounds &bounds);

} // namespace wisteriafork
