#pragma once

#include "ctl/ctl.h"
#include "ctl/ctlarguments.h"
#include "ctl/exitcode.h"

#include <iosfwd>
#include <string_view>
#include <vector>

namespace wisteriafork {

// Output streams and deployment of a command. Results go to `out`, messages to `err`.
struct CommandContext
{
    std::ostream &out;
    std::ostream &err;
    const CtlDeployment &deployment;
};

// Description of one command of wisteriaforkctl.
struct Command
{
    // One or two words, for example "config diff".
    std::string_view name;
    // Operands as shown in the help text, for example "BEFORE AFTER".
    std::string_view operands;
    // One sentence for the help text.
    std::string_view summary;
    // Lines of the help text about the options of this command. The options that all commands for a node share follow them.
    std::string_view options;
    // Long names of the options that the command accepts besides --help, without the dashes.
    std::vector<std::string> allowedOptions;
    std::size_t minOperands;
    std::size_t maxOperands;
    ExitCode (*run)(const CtlArguments &, CommandContext);
};

// All commands in the order of the help text.
const std::vector<Command> &commands();

// Implementations of the commands. Each prints its result and returns the exit code of the process.
ExitCode runQuestionnaireCheck(const CtlArguments &arguments, CommandContext context);
ExitCode runConfigGenerate(const CtlArguments &arguments, CommandContext context);
ExitCode runConfigDiff(const CtlArguments &arguments, CommandContext context);
ExitCode runConfigShow(const CtlArguments &arguments, CommandContext context);
ExitCode runNodeStatus(const CtlArguments &arguments, CommandContext context);
ExitCode runNodeDrain(const CtlArguments &arguments, CommandContext context);
ExitCode runOutcomes(const CtlArguments &arguments, CommandContext context);

} // namespace wisteriafork
