#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/config/configuration.h"

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// Recent calls of each tenant at one service, with exponential forgetting.
class TenantShares
{
public:
    // True if the tenant has used more than `slack` times its weighted share among the tenants that are active.
    bool isUsedUp(const TenantId &tenant, std::span<const TenantConfiguration> tenants, double slack, TimePoint now, Duration memory);
    void count(const TenantId &tenant, TimePoint now, Duration memory);

private:
    void forget(TimePoint now, Duration memory);

    std::unordered_map<TenantId, double> m_calls;
    TimePoint m_forgotten;
};

} // namespace wisteriafork
