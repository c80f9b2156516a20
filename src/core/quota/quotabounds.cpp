#include "core/quota/quotabounds.h"

#include "core/base/durationseconds.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

// Shares of what the bound allows beyond the quota. The standby gets most, because it replaces a lender that is lost until the list
// changes.
constexpr double StandbyShare = 0.5;
constexpr double IsolatedLenderShare = 0.25;
constexpr double LocalShare = 0.25;

} // namespace

QuotaSplit::QuotaSplit(const Workspace &workspace, const QuotaBounds &bounds)
{
    const double rate = workspace.ratePerSecond;
    const double burst = std::max(1.0, workspace.burst);
    const double window = toSeconds(bounds.window);
    // Tokens that were lent before a window can be used in it, and two nodes may lend from full rates while the list changes.
    const double lendingTime = window + toSeconds(bounds.tokenLifetime) + toSeconds(bounds.listSkew);
    const double bound = (rate * window + workspace.burst) * (1.0 + bounds.overrunShare) + bounds.slackRequests;
    m_lender = {.ratePerSecond = rate, .capacity = burst};
    const double beyond = std::max(0.0, bound - rate * lendingTime - burst);
    // Half of a part may come at once, the other half over the time.
    const auto bucketOf = [lendingTime](double requests) {
        return BucketSize{.ratePerSecond = requests / 2.0 / lendingTime, .capacity = requests / 2.0};
    };
    m_standby = bucketOf(StandbyShare * beyond);
    m_isolatedLender = bucketOf(IsolatedLenderShare * beyond);
    m_localRequests = std::floor(LocalShare * beyond);
}

std::size_t QuotaSplit::localRequests(std::size_t place, std::size_t nodes) const
{
    const auto total = static_cast<std::size_t>(m_localRequests);
    const std::size_t count = std::max<std::size_t>(1, nodes);
    return total / count + (place < total % count ? 1 : 0);
}

} // namespace wisteriafork
