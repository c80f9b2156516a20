#pragma once

#include "core/base/clock.h"
#include "core/workspace/workspacetable.h"

#include <cstddef>

namespace wisteriafork {

// Bound of the fleet on the requests of a workspace with a quota: in any window at most (rate x window + burst) x (1 + overrunShare) +
// slackRequests of them run, on all nodes together.
struct QuotaBounds
{
    Duration window = std::chrono::seconds(5);
    double overrunShare = 0.25;
    double slackRequests = 20.0;
    // Time for which a lent token may be used, counted by the borrower from its question.
    Duration tokenLifetime = std::chrono::milliseconds(300);
    // Time for which nodes that have contact to the source of the list may disagree about the lender.
    Duration listSkew = std::chrono::milliseconds(500);
    // Time without contact to the source after which a lender no longer lends from its bucket, because others may have replaced it. An
    // entry of the list expires after 4.5 s without heartbeats.
    Duration maxLendingWithoutSource = std::chrono::seconds(4);

    // Time in which tokens are lent that can be used in one window.
    Duration lendingTime() const
    {
        return window + tokenLifetime;
    }
};

// Token bucket parameters: tokens per second, and the most that it holds.
struct BucketSize
{
    double ratePerSecond = 0.0;
    double capacity = 0.0;
};

// Splits the bound of a workspace between those that may admit requests independently of each other, so that all of them together keep it
// in any window whatever they know of each other: the lender, the standby, the lender without contact to the source, and each node alone.
// The lender gets the quota itself; the others share what the bound allows beyond it.
class QuotaSplit
{
public:
    QuotaSplit(const Workspace &workspace, const QuotaBounds &bounds);

    BucketSize lender() const
    {
        return m_lender;
    }

    // Requests in any time of `lendingTime` for which the standby may lend tokens.
    std::size_t standbyRequests() const;
    // The same for a lender without contact to the source.
    std::size_t isolatedRequests() const;
    // Requests that the node at this place in the ranking of `nodes` may admit in any window without asking.
    std::size_t localRequests(std::size_t place, std::size_t nodes) const;

private:
    BucketSize m_lender;
    // Requests in a window that the bound allows beyond what the lender lends.
    double m_requestsBeyond = 0.0;
};

} // namespace wisteriafork
