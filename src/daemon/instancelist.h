#pragma once

#include "core/config/findings.h"
#include "core/relay/instance.h"

#include <string_view>
#include <vector>

namespace wisteriafork {

// Parses the list of instances, {"instances": [{"id", "service", "server", "peers", "domain", "slots", "draining"}, ...]}. An entry counts
// as newer than the entries before it. Returns either all instances or all findings; never throws.
ValueOrFindings<std::vector<Instance>> parseInstanceList(std::string_view text);

} // namespace wisteriafork
