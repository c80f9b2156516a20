#include "core/quota/tokenbucket.h"

#include "core/base/durationseconds.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

constexpr Duration MaxWait = std::chrono::hours(1);

} // namespace

TokenBucket::TokenBucket(const BucketSize &size, TimePoint start) : m_size(size), m_lastRefill(start)
{
}

void TokenBucket::resize(const BucketSize &size, TimePoint now)
{
    refill(now);
    m_size = size;
    m_balance = std::min(m_balance, m_size.capacity);
}

unsigned TokenBucket::take(unsigned wanted, TimePoint now)
{
    refill(now);
    const auto taken = std::min(wanted, static_cast<unsigned>(std::floor(m_balance)));
    m_balance -= taken;
    return taken;
}

double TokenBucket::balance(TimePoint now)
{
    refill(now);
    return m_balance;
}

Duration TokenBucket::timeUntil(double tokens, TimePoint now)
{
    refill(now);
    if (m_balance >= tokens) {
        return Duration(0);
    }
    if (m_size.ratePerSecond <= 0.0) {
        return MaxWait;
    }
    return std::min(MaxWait, fromSeconds(std::min(toSeconds(MaxWait), (tokens - m_balance) / m_size.ratePerSecond)));
}

void TokenBucket::refill(TimePoint now)
{
    m_balance = std::min(m_size.capacity, m_balance + m_size.ratePerSecond * std::max(0.0, toSeconds(now - m_lastRefill)));
    m_lastRefill = std::max(m_lastRefill, now);
}

} // namespace wisteriafork
