#pragma once

#include "core/base/ids.h"
#include "core/config/configuration.h"
#include "core/relay/instance.h"
#include "observability/outcomesreport.h"
#include "observability/recentload.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriafork {

// State of one node, as reported by /v1/status.
struct NodeStatus
{
    std::string name;
    ServiceId service;
    DomainId domain;
    // Address at which other nodes reach this one.
    std::string peerAddress;
    // Version of wisteriafork, for example "0.1.0".
    std::string programVersion;
    std::chrono::seconds uptime{0};
    bool draining = false;
    // True while draining once no request is in flight.
    bool drained = false;
    std::uint64_t requestsInFlight = 0;
    // 0 before the first configuration.
    std::uint64_t configurationVersion = 0;
};

// Gives the administration API access to the node; the daemon implements it. All functions are called on the threads that run the
// io_context of the API and must not block.
class AdministrationSource
{
public:
    virtual ~AdministrationSource() = default;

    virtual NodeStatus status() const = 0;
    virtual OutcomesReport outcomes() const = 0;
    // All instances that the node knows.
    virtual std::vector<Instance> instances() const = 0;
    // Configuration in force; empty before the first one.
    virtual std::optional<Configuration> configuration() const = 0;
    // Load of each operation that this node measured.
    virtual std::vector<OperationLoad> recentLoad() const = 0;
    // All metrics in the text exposition format of Prometheus.
    virtual std::string metricsText() const = 0;

    // Starts and ends draining. Both return at once; `status` shows the progress.
    virtual void drain() = 0;
    virtual void undrain() = 0;
};

} // namespace wisteriafork
