#pragma once

#include "core/config/findings.h"
#include "core/relay/instance.h"

#include <string_view>
#include <vector>

namespace wisteriafork {

// Reads the list of instances, {"instances": [{"id", "service", "server", "peers", "domain", "slots", "draining"}, ...]}. Later entries
// count as newer. Collects all findings; never throws.
ValueOrFindings<std::vector<Instance>> parseInstanceList(std::string_view text);

} // namespace wisteriafork
