#pragma once

#include "core/relay/routetable.h"
#include "ctl/exitcode.h"

#include <functional>
#include <iosfwd>
#include <string>

namespace wisteriafork {

// Functions of wisteriaforkctl that depend on the platform on which configurations are published.
struct CtlDeployment
{
    // Returns the value that the operator publishes on the platform for a configuration with these routes.
    std::function<std::string(const RouteTable &)> formatPublishedValue;
};

// Runs one command of wisteriaforkctl. Results go to `out`, messages to `err`. Not reentrant: the arguments are parsed with getopt_long,
// which keeps global state.
ExitCode runCtl(int argc, char **argv, std::ostream &out, std::ostream &err, const CtlDeployment &deployment);

} // namespace wisteriafork
