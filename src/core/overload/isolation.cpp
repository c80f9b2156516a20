#include "core/overload/isolation.h"

#include <algorithm>
#include <chrono>

namespace wisteriafork {

namespace {

// An operation counts as in use for this long after its last call.
constexpr Duration InUse = std::chrono::seconds(10);

} // namespace

Isolation::Isolation(double share, bool enabled) : m_share(share), m_enabled(enabled)
{
}

std::size_t Isolation::dependencyIndex(const ServiceId &service)
{
    const auto [entry, inserted] = m_indexes.emplace(service, m_running.size());
    if (inserted) {
        m_running.push_back(0);
    }
    return entry->second;
}

void Isolation::started(const OperationProfile &operation)
{
    for (const std::size_t dependency : operation.dependencies) {
        ++m_running[dependency];
    }
}

void Isolation::ended(const OperationProfile &operation)
{
    for (const std::size_t dependency : operation.dependencies) {
        m_running[dependency] -= std::min<std::size_t>(1, m_running[dependency]);
    }
}

void Isolation::markBlocked(const std::vector<OperationProfile> &operations, unsigned limit, TimePoint now,
                            std::vector<bool> &blocked) const
{
    blocked.assign(operations.size(), false);
    if (!m_enabled) {
        return;
    }
    const auto allowed = static_cast<std::size_t>(std::max(1.0, m_share * limit));
    for (std::size_t dependency = 0; dependency < m_running.size(); ++dependency) {
        if (m_running[dependency] < allowed || isUsedByAll(dependency, operations, now)) {
            continue;
        }
        for (std::size_t index = 0; index < operations.size(); ++index) {
            const std::vector<std::size_t> &needed = operations[index].dependencies;
            blocked[index] = blocked[index] || std::find(needed.begin(), needed.end(), dependency) != needed.end();
        }
    }
}

bool Isolation::isUsedByAll(std::size_t dependency, const std::vector<OperationProfile> &operations, TimePoint now) const
{
    return std::none_of(operations.begin(), operations.end(), [&](const OperationProfile &operation) {
        const bool depends
            = std::find(operation.dependencies.begin(), operation.dependencies.end(), dependency) != operation.dependencies.end();
        return !depends && now - operation.lastOffered < InUse;
    });
}

} // namespace wisteriafork
