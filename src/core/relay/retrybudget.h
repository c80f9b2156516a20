#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <array>
#include <unordered_map>

namespace wisteriafork {

struct RetryBudgetOptions
{
    // Bound of the fleet: in any window, the retries to a service stay below this ratio of its first sends plus the slack.
    double fleetRatio = 0.2;
    double fleetSlackRetries = 48.0;
    Duration window = std::chrono::seconds(10);
    // Share of the ratio that a node earns by its own first sends. The rest covers the retries that nodes have saved.
    double earnedShare = 0.6;
    // Maximum number of unused retries of a service.
    double burstRetries = 2.0;
    // Share of the slack that all nodes together may save without any traffic, and with which they start. Both together stay below the
    // slack, so that nodes may restart within a window.
    double savedSlackShare = 0.7;
    double initialSlackShare = 0.25;
    // Retries that are reserved for requests of priority 0, the most urgent.
    double urgentReserveRetries = 0.9;
};

// Retry budget: a token bucket for each service that bounds how many requests this node sends to a second instance, as retries or hedged
// requests. Each node earns retries by its own first sends. What it may save is its part of the slack of the fleet, and more only as far as
// its own recent first sends leave a part of the ratio unused; so all nodes together stay within the bound of the fleet however many they
// are. What one node has saved is of no use to another one. Answers the load of lost responses and failing instances. Not thread safe.
class RetryBudget
{
public:
    // `clock` must outlive the object.
    RetryBudget(const RetryBudgetOptions &options, const Clock &clock);

    // Sets the number of nodes that share the slack of the fleet.
    void setNodeCount(std::size_t nodes);
    // Records that a request is sent to the service for the first time.
    void onFirstSend(const ServiceId &service);
    // Charges a call that cannot be held back: one made by a backend server that runs a retry itself. The balance may become negative.
    void chargeRetry(const ServiceId &service);
    // Charges a retry and returns true if the budget of the service allows it. The reserve is available only to `priority` 0.
    bool tryChargeRetry(const ServiceId &service, unsigned priority = 0);

private:
    // First sends are counted in slices of the window.
    static constexpr std::size_t SliceCount = 5;

    struct Account
    {
        double balance = 0.0;
        std::array<unsigned, SliceCount> sends{};
        // Number of the slice that is being counted, from the epoch of the clock.
        std::int64_t slice = 0;
    };

    // Account of a service, with the slices up to the present time.
    Account &accountOf(const ServiceId &service);
    // Part of the slack of the fleet that belongs to this node.
    double slackOfNode() const;
    // Retries that may be saved for a service.
    double capacity(const Account &account) const;

    const RetryBudgetOptions m_options;
    const Clock &m_clock;
    double m_nodes = 1.0;
    std::unordered_map<ServiceId, Account> m_accounts;
};

} // namespace wisteriafork
