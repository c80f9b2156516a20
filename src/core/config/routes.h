#pragma once

#include "core/config/configuration.h"
#include "core/relay/routetable.h"

#include <string_view>

namespace wisteriafork {

// Routes of a configuration: one for each operation, named "service/operation".
RouteTable routesOf(const Configuration &configuration);

// Rank of a class in overload; critical calls have rank 0, which is shed last.
unsigned priorityOf(CallClass callClass);
// Class of a rank; all ranks above that of reads count as bulk.
CallClass classOfPriority(unsigned priority);

// The service and the operation that the name of such a route consists of.
struct RouteOperation
{
    ServiceId service;
    OperationId operation;
};
RouteOperation parseRouteName(std::string_view routeName);

} // namespace wisteriafork
