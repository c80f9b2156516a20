#pragma once

#include "core/config/configuration.h"

#include <string>
#include <vector>

namespace wisteriafork {

// The part of a configuration that every node needs, published as the slice `_common`.
struct CommonSlice
{
    std::string name;
    std::vector<DomainId> domains;
    std::vector<TenantConfiguration> tenants;
    EnvironmentBounds bounds;

    friend bool operator==(const CommonSlice &, const CommonSlice &) = default;
};

} // namespace wisteriafork
