#pragma once

#include "core/base/strongstring.h"

#include <cstdint>

namespace wisteriafork {

// Name of an instance of a service and of the node beside it, unique in the fleet, for example "registar-osijek-1". A restarted or
// replaced process has the same name and a higher incarnation.
using NodeId = StrongString<struct NodeIdTag>;
using ServiceId = StrongString<struct ServiceIdTag>;
using OperationId = StrongString<struct OperationIdTag>;
using DomainId = StrongString<struct DomainIdTag>;
using WorkspaceId = StrongString<struct WorkspaceIdTag>;

// Number that increases with each start of an instance.
using Incarnation = std::uint64_t;

// Identifies a call within one node; unique for the lifetime of the process.
using CallId = std::uint64_t;

} // namespace wisteriafork
