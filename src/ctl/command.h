#pragma once

#include "ctl/ctlarguments.h"
#include "ctl/exitcode.h"

#include <iosfwd>
#include <string_view>
#include <vector>

namespace wisteriafork {

// Streams of a command: results go to `out`, messages to `err`.
struct CommandStreams
{
    std::ostream &out;
    std::ostream &err;
};

// One command of the tool.
struct Command
{
    // Words that name it, "config diff".
    std::string_view name;
    // Operands as shown in the help, "BEFORE AFTER".
    std::string_view operands;
    std::string_view summary;
    // Options, one per line, as shown in the help.
    std::string_view options;
    // Long names of the options that the command takes besides --help.
    std::vector<std::string> allowed;
    std::size_t leastOperands;
    std::size_t mostOperands;
    ExitCode (*run)(const CtlArguments &, CommandStreams);
};

// All commands in the order of the help.
const std::vector<Command> &commands();

// The commands; each takes a parsed command line.
ExitCode runQuestionnaireCheck(const CtlArguments &line, CommandStreams streams);
ExitCode runConfigGenerate(const CtlArguments &line, CommandStreams streams);
ExitCode runConfigDiff(const CtlArguments &line, CommandStreams streams);
ExitCode runConfigShow(const CtlArguments &line, CommandStreams streams);
ExitCode runNodeStatus(const CtlArguments &line, CommandStreams streams);
ExitCode runNodeDrain(const CtlArguments &line, CommandStreams streams);
ExitCode runOutcomes(const CtlArguments &line, CommandStreams streams);

} // namespace wisteriafork
