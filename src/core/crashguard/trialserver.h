#pragma once

#include "core/base/requestkey.h"

#include <span>
#include <string>

namespace wisteriafork {

struct Instance;

// The instance of a service on which a banned fingerprint may be tried again: all nodes with the same list choose the same one, so that a
// request that crashes backend servers crashes one for each trial. Null if all instances are draining.
const Instance *trialServer(std::span<const Instance> instances, const RequestKey &fingerprint);

} // namespace wisteriafork
