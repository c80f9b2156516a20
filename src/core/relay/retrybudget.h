#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <unordered_map>

namespace wisteriafork {

struct RetryBudgetOptions
{
    // Retries earned by each first send to a service. It is below the ratio of the fleet (0.2), because the bound applies to any time
    // window.
    double retryRatio = 0.12;
    // Maximum number of unused retries of a service, also the number at the start. All nodes together stay within the slack of the fleet
    // (three retries for each node).
    double burstRetries = 2.0;
    // Retries that are reserved for requests of priority 0, the most urgent.
    double urgentReserveRetries = 0.9;
};

// Retry budget: a token bucket for each service that bounds how many requests this node sends to a second instance, as retries or hedged
// requests. All nodes together stay within the ratio of the fleet, because each earns retries by its own first sends. Not thread safe.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options);

    // Records that a request is sent to the service for the first time.
    void onFirstSend(const ServiceId &service);
    // Charges a call that cannot be held back: one made by a backend server that runs a retry itself. The balance may become negative.
    void chargeRetry(const ServiceId &service);
    // Charges a retry and returns true if the budget of the service allows it. The reserve is available only to `priority` 0.
    bool tryChargeRetry(const ServiceId &service, unsigned priority = 0);

private:
    // Retries that the service has left.
    double &balanceOf(const ServiceId &service);

    const RetryBudgetOptions m_options;
    std::unordered_map<ServiceId, double> m_balances;
};

} // namespace wisteriafork
