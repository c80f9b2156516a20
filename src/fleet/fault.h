#pragma once

#include "core/base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork::fleet {

// Kinds of faults that the simulation injects. `faultName` gives their names in reports.
enum class FaultKind : std::uint8_t {
    // The process of the node stops, and starts again when the fault ends.
    KillNode,
    // The process of the node is suspended.
    FreezeNode,
    // The backend server stops without draining, and starts again as a new instance when the fault ends.
    CrashServer,
    // The network loses everything between the host and all others.
    IsolateHost,
    // The network loses everything between the failure domain of the host and the other one.
    SeparateDomain,
    // Requests take longer.
    SlowServer,
    // A share of the requests gets status 500.
    FailingServer,
    // A share of the requests gets its response only after everybody has given up waiting.
    HangingServer,
    // A share of the requests is executed, but the connection breaks before the response.
    LostAnswers,
    // The backend server rejects a share of the requests without executing them.
    RefusingServer,
    // Callers send several times as many requests.
    Burst,
    // Half of the nodes, from that of the host on, cannot read the published instances and configuration.
    CutOffFromList,
    // The instance is drained and replaced by a new one.
    ReplaceInstance,
    // A new version of the configuration is published.
    NewConfiguration,
    // Several callers send a request that crashes each backend server of the last service that executes it.
    PoisonedRequest,
};

constexpr unsigned FaultKindCount = static_cast<unsigned>(FaultKind::PoisonedRequest) + 1;

// One fault of a simulation.
struct Fault
{
    FaultKind kind = FaultKind::KillNode;
    // Time from the start of the load.
    Duration start{0};
    Duration duration{0};
    // Index of the affected host; faults of several hosts affect this one and the next ones.
    unsigned host = 0;
    // Faults of a backend server affect all backend servers of its service.
    bool wholeService = false;
};

// Name of the fault in reports.
constexpr const char *faultName(FaultKind kind)
{
    switch (kind) {
    case FaultKind::KillNode:
        return "kill-node";
    case FaultKind::FreezeNode:
        return "freeze-node";
    case FaultKind::CrashServer:
        return "crash-server";
    case FaultKind::IsolateHost:
        return "isolate-host";
    case FaultKind::SeparateDomain:
        return "separate-domain";
    case FaultKind::SlowServer:
        return "slow-server";
    case FaultKind::FailingServer:
        return "failing-server";
    case FaultKind::HangingServer:
        return "hanging-server";
    case FaultKind::LostAnswers:
        return "lost-answers";
    case FaultKind::RefusingServer:
        return "refusing-server";
    case FaultKind::Burst:
        return "burst";
    case FaultKind::CutOffFromList:
        return "cut-off-from-list";
    case FaultKind::ReplaceInstance:
        return "replace-instance";
    case FaultKind::NewConfiguration:
        return "new-configuration";
    case FaultKind::PoisonedRequest:
        break;
    }
    return "poisoned-request";
}

} // namespace wisteriafork::fleet
