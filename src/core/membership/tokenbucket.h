#pragma once

#include "core/base/clock.h"

#include <algorithm>
#include <chrono>

namespace wisteriafork {

// Bound on a rate: tokens accrue evenly up to a burst, and each use takes some.
class TokenBucket
{
public:
    TokenBucket(double perSecond, double burst) : m_perSecond(perSecond), m_burst(burst), m_tokens(burst)
    {
    }

    // Takes tokens if there are enough.
    bool take(double count, TimePoint now)
    {
        refill(now);
        if (m_tokens < count) {
            return false;
        }
        m_tokens -= count;
        return true;
    }

    // Takes tokens if any are left; what is missing is taken from those to come. For uses that may be greater than the burst.
    bool takeOnCredit(double count, TimePoint now)
    {
        refill(now);
        if (m_tokens <= 0) {
            return false;
        }
        m_tokens -= count;
        return true;
    }

private:
    void refill(TimePoint now)
    {
        if (now > m_last) {
            const double seconds = std::chrono::duration<double>(now - m_last).count();
            m_tokens = std::min(m_burst, m_tokens + (seconds * m_perSecond));
            m_last = now;
        }
    }

    double m_perSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_last{};
};

} // namespace wisteriafork
