#include "core/quota/quotabounds.h"

#include "core/base/durationseconds.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Shares of what the bound allows beyond the quota. The standby gets most, because it replaces a lender that is lost until the list
// changes.
constexpr double StandbyShare = 0.8;
constexpr double IsolatedLenderShare = 0.1;
constexpr double LocalShare = 0.1;

} // namespace

QuotaSplit::QuotaSplit(const Workspace &workspace, const QuotaBounds &bounds)
{
    const double rate = workspace.ratePerSecond;
    const double burst = std::max(1.0, workspace.burst);
    const double bound = (rate * toSeconds(bounds.window) + workspace.burst) * (1.0 + bounds.overrunShare) + bounds.slackRequests;
    m_lender = {.ratePerSecond = rate, .capacity = burst};
    // Two nodes may lend at the full rate while the list changes.
    m_requestsBeyond = std::max(0.0, bound - rate * toSeconds(bounds.lendingTime() + bounds.listSkew) - burst);
}

std::size_t QuotaSplit::standbyRequests() const
{
    return static_cast<std::size_t>(StandbyShare * m_requestsBeyond);
}

std::size_t QuotaSplit::isolatedRequests() const
{
    return static_cast<std::size_t>(IsolatedLenderShare * m_requestsBeyond);
}

std::size_t QuotaSplit::localRequests(std::size_t place, std::size_t nodes) const
{
    const auto total = static_cast<std::size_t>(LocalShare * m_requestsBeyond);
    const std::size_t count = std::max<std::size_t>(1, nodes);
    return total / count + (place < total % count ? 1 : 0);
}

} // namespace wisteriafork
