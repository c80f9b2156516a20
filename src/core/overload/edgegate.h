#pragma once

#include "core/base/calldescription.h"
#include "core/base/clock.h"
#include "core/base/loadreport.h"
#include "core/base/refusal.h"
#include "core/config/configuration.h"
#include "core/overload/edgegateoptions.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <span>

namespace wisteriafork {

// Refuses calls before work is spent on them, from what load reports say of the services on their path. One per node; it serves calls that
// callers send to this node, calls that peers forward to the local backend server, and calls of the local backend server.
//
// Reports are kept per service and operation, so that an operation is held back only by the services on its own path. Not thread safe.
class EdgeGate
{
public:
    EdgeGate(EdgeGateOptions options, const Clock &clock);
    ~EdgeGate();
    EdgeGate(const EdgeGate &) = delete;
    EdgeGate &operator=(const EdgeGate &) = delete;

    void configure(std::span<const TenantConfiguration> tenants);

    // Lowers a caller's read to bulk if this node refused the same request recently. After an overload the resends of many refused requests
    // would otherwise hold back fresh requests until all of them are served. Call it before `check()`, and forward the lowered class.
    void classify(CallDescription &call) const;

    // Checks a caller's call at the node that it reached: deadline, level of the path, shares. Internal calls are checked for their
    // deadline only.
    std::optional<Refusal> check(const CallDescription &call);

    // Checks a caller's call again at the node that runs it, against the services below the operation, which this node hears of first.
    std::optional<Refusal> checkBelow(const CallDescription &call);

    // Counts a call that waits for `call.service`, or refuses it if too many do. Each call counted is ended once by `stopWaiting()`.
    std::optional<Refusal> startWaiting(const CallDescription &call);
    void stopWaiting(const CallDescription &call);

    // Takes in the load report attached to an answer or a refusal of `call`. `parent` is the operation of the local backend server that
    // made the call; empty for a caller's call. `answered` is false for a refusal; `elapsed` is the time from sending to the answer.
    void learn(const CallDescription &call, const OperationId &parent, const LoadReport &report, Duration elapsed, bool answered);

    // Level of a service and of everything below it, for one of its operations.
    AdmissionLevel levelOf(const ServiceId &service, const OperationId &operation) const;
    // Strictest level of the services that an operation of the local backend server calls; goes into `LoadReport::levelBelow`.
    AdmissionLevel levelBelow(const OperationId &operation) const;

    std::size_t waitingFor(const ServiceId &service) const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace wisteriafork
