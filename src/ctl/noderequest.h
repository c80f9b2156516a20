#pragma once

#include "ctl/configurationfile.h"
#include "ctl/ctlarguments.h"

#include <string>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

namespace wisteriafork {

// Asks the administration API that the command line names, with the token from its file or from $WISTERIAFORK_TOKEN. Gives the JSON of a
// successful answer.
tl::expected<nlohmann::json, CommandFailure> askNode(const CtlArguments &line, const std::string &method, const std::string &target);

} // namespace wisteriafork
