#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <unordered_map>

namespace wisteriafork {

struct RetryBudgetOptions
{
    // Repeats for each first send to a service. Calls that a repeated run makes count again at the services below, so a chain of services
    // shares the fleet's ratio (0.2); four levels get a quarter each.
    double ratio = 0.05;
    // Repeats that may be saved up, and those at hand at the start.
    double burst = 3.0;
};

// Bounds the requests that this node sends to a second instance, by service. All nodes together stay within the fleet's ratio because each
// spends in proportion to its own first sends. Not thread safe.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options);

    // A request is sent to the service for the first time.
    void firstSend(const ServiceId &service);
    // True if a repeat is allowed; it is then spent.
    bool take(const ServiceId &service);

private:
    double &tokens(const ServiceId &service);

    const RetryBudgetOptions m_options;
    std::unordered_map<ServiceId, double> m_tokens;
};

} // namespace wisteriafork
