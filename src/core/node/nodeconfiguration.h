#pragma once

#include "core/config/configuration.h"

#include <optional>
#include <unordered_map>

namespace wisteriafork {

// The configuration in force at a node, with fast access to operations.
class NodeConfiguration
{
public:
    void set(Configuration configuration);

    // Null before the first configuration.
    const Configuration *current() const;
    // Null if the configuration in force does not have it.
    const ServiceConfiguration *service(const ServiceId &id) const;
    const OperationConfiguration *operation(const ServiceId &service, const OperationId &operation) const;

private:
    std::optional<Configuration> m_configuration;
    std::unordered_map<ServiceId, const ServiceConfiguration *> m_services;
};

} // namespace wisteriafork
