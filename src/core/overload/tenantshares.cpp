#include "core/overload/tenantshares.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

// A tenant with fewer recent calls than this is idle, and no share is kept free for it.
constexpr double LeastCalls = 0.5;
// Shares mean nothing over fewer calls than this.
constexpr double LeastTotal = 20.0;

} // namespace

bool TenantShares::isUsedUp(const TenantId &tenant, std::span<const TenantConfiguration> tenants, double slack, TimePoint now,
                            Duration memory)
{
    forget(now, memory);
    double total = 0.0;
    double weights = 0.0;
    double ownWeight = 0.0;
    double own = 0.0;
    for (const TenantConfiguration &configured : tenants) {
        const auto found = m_calls.find(configured.id);
        const double calls = found == m_calls.end() ? 0.0 : found->second;
        if (calls >= LeastCalls || configured.id == tenant) {
            total += calls;
            weights += configured.weight;
        }
        if (configured.id == tenant) {
            own = calls;
            ownWeight = configured.weight;
        }
    }
    return ownWeight > 0.0 && ownWeight < weights && total >= LeastTotal && own > slack * total * ownWeight / weights;
}

void TenantShares::count(const TenantId &tenant, TimePoint now, Duration memory)
{
    forget(now, memory);
    m_calls[tenant] += 1.0;
}

void TenantShares::forget(TimePoint now, Duration memory)
{
    const double factor = std::exp(-(std::chrono::duration<double>(now - m_forgotten) / memory));
    m_forgotten = now;
    for (auto &entry : m_calls) {
        entry.second *= factor;
    }
}

} // namespace wisteriafork
