#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <unordered_map>

namespace wisteriafork {

struct RetryBudgetOptions
{
    // Repeats for each first send to a service; below the fleet's ratio (0.2), because windows of the bound may begin anywhere.
    double retryRatio = 0.12;
    // Repeats that may be saved up, and those at hand at the start. All nodes together stay within the fleet's slack (three for each node).
    double burstRetries = 2.0;
    // Repeats that are kept for the most urgent requests (priority 0).
    double urgentReserveRetries = 0.9;
};

// Bounds the requests that this node sends to a second instance, by service. All nodes together stay within the fleet's ratio because each
// spends in proportion to its own first sends. Not thread safe.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options);

    // A request is sent to the service for the first time.
    void onFirstSend(const ServiceId &service);
    // A call of a run that was a repeat itself is sent to the service: it counts as a repeat, but is not held back.
    void chargeRetry(const ServiceId &service);
    // True if a repeat is allowed; it is then spent. When repeats are scarce, those of the most urgent requests come first.
    bool tryChargeRetry(const ServiceId &service, unsigned priority = 0);

private:
    double &tokens(const ServiceId &service);

    const RetryBudgetOptions m_options;
    std::unordered_map<ServiceId, double> m_tokens;
};

} // namespace wisteriafork
