#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/overload/operationprofile.h"

#include <cstddef>
#include <map>
#include <vector>

namespace wisteriafork {

// Keeps calls that depend on one downstream service from holding all slots of the local backend server. While other operations are in use,
// each downstream service may hold at most a share of the limit; calls beyond it wait before they run.
class Isolation
{
public:
    Isolation(double share, bool enabled);

    // Index for a downstream service, the same for each call with the same id.
    std::size_t dependencyIndex(const ServiceId &service);

    void started(const OperationProfile &operation);
    void ended(const OperationProfile &operation);

    // Marks the operations that may not start another call now.
    void markBlocked(const std::vector<OperationProfile> &operations, unsigned limit, TimePoint now, std::vector<bool> &blocked) const;

private:
    bool isUsedByAll(std::size_t dependency, const std::vector<OperationProfile> &operations, TimePoint now) const;

    double m_share;
    bool m_enabled;
    std::map<ServiceId, std::size_t> m_indexes;
    std::vector<std::size_t> m_running;
};

} // namespace wisteriafork
