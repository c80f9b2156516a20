#pragma once

#include "ctl/configurationfile.h"
#include "ctl/ctlarguments.h"

#include <string>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

namespace wisteriafork {

// Sends a request to the administration API of a node and returns the JSON body of a successful response. The URL and the token come from
// the command line, or else from $WISTERIAFORK_NODE and $WISTERIAFORK_TOKEN. `target` is the path with the query.
tl::expected<nlohmann::json, CommandFailure> requestFromNode(const CtlArguments &arguments, const std::string &method,
                                                             const std::string &target);

} // namespace wisteriafork
