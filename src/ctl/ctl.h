#pragma once

#include "ctl/exitcode.h"

#include <iosfwd>

namespace wisteriafork {

// Runs one command of wisteriaforkctl. Results go to `out`, messages to `err`. Parses with getopt_long, so only one call may run at a time.
ExitCode runCtl(int argc, char **argv, std::ostream &out, std::ostream &err);

} // namespace wisteriafork
