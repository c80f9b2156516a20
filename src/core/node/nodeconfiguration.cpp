#include "core/node/nodeconfiguration.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

void NodeConfiguration::set(Configuration configuration)
{
    m_configuration = std::move(configuration);
    m_services.clear();
    for (const ServiceConfiguration &service : m_configuration->services) {
        m_services.emplace(service.id, &service);
    }
}

const Configuration *NodeConfiguration::current() const
{
    return m_configuration ? &*m_configuration : nullptr;
}

const ServiceConfiguration *NodeConfiguration::service(const ServiceId &id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : found->second;
}

const OperationConfiguration *NodeConfiguration::operation(const ServiceId &service, const OperationId &operation) const
{
    const ServiceConfiguration *configuration = this->service(service);
    if (configuration == nullptr) {
        return nullptr;
    }
    const auto found = std::ranges::find(configuration->operations, operation, &OperationConfiguration::id);
    return found == configuration->operations.end() ? nullptr : &*found;
}

} // namespace wisteriafork
