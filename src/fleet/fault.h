#pragma once

#include "core/base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork::fleet {

// Troubles that the model plays.
enum class FaultKind : std::uint8_t {
    KillNode,
    FreezeNode,
    CrashServer,
    IsolateHost,
    SeparateDomain,
    SlowServer,
    FailingServer,
    HangingServer,
    LostAnswers,
    RefusingServer,
    Burst,
    CutOffFromList,
    ReplaceInstance,
    NewConfiguration,
    PoisonedRequest,
};

constexpr unsigned FaultKinds = static_cast<unsigned>(FaultKind::PoisonedRequest) + 1;

// One trouble of a schedule.
struct Fault
{
    FaultKind kind = FaultKind::KillNode;
    Duration start{0};
    Duration duration{0};
    // Host that it strikes; troubles of several hosts begin at this one.
    unsigned host = 0;
    // Troubles of a backend server strike all of its service.
    bool wholeService = false;
};

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
