#pragma once

#include "core/config/configuration.h"
#include "core/relay/routetable.h"

#include <string_view>

namespace wisteriafork {

// Routes of a configuration: one for each operation, named "service/operation".
RouteTable routesOf(const Configuration &configuration);

// Priority of a call class in load shedding: 0 for critical calls, which are shed last, and higher numbers for classes that are shed
// earlier.
unsigned priorityOfClass(CallClass callClass);

// Call class of a priority; every number greater than the priority of reads gives bulk.
CallClass classOfPriority(unsigned priority);

// Service and operation that a route's name consists of.
struct RouteOperation
{
    ServiceId service;
    OperationId operation;
};

// Splits a route's name at the first "/". Without one, the whole name is the service and the operation is empty.
RouteOperation parseRouteName(std::string_view routeName);

} // namespace wisteriafork
