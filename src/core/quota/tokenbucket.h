#pragma once

#include "core/quota/quotabounds.h"

namespace wisteriafork {

// Token bucket that starts empty, so that a node that has lost its state, or has just taken over from another one, admits nothing that the
// former state may have admitted already.
class TokenBucket
{
public:
    TokenBucket(const BucketSize &size, TimePoint start);

    // Changes the size. Tokens beyond a smaller capacity are lost.
    void resize(const BucketSize &size, TimePoint now);
    // Takes up to `wanted` whole tokens and returns their number.
    unsigned take(unsigned wanted, TimePoint now);
    double balance(TimePoint now);
    // Time until the bucket holds this number of tokens; at most an hour.
    Duration timeUntil(double tokens, TimePoint now);

private:
    void refill(TimePoint now);

    BucketSize m_size;
    double m_balance = 0.0;
    TimePoint m_lastRefill;
};

} // namespace wisteriafork
