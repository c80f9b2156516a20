#include "ctl/ctl.h"

#include "ctl/command.h"

#include <algorithm>
#include <ostream>
#include <string>

namespace wisteriafork {

namespace {

constexpr std::string_view ExitCodeHelp = "Exit codes:\n"
                                          "  0  success\n"
                                          "  1  the input has errors, configurations differ, or a drain did not finish in time\n"
                                          "  2  wrong usage\n"
                                          "  3  a file cannot be read or written\n"
                                          "  4  the node cannot be reached or gives no usable answer\n"
                                          "  5  the node denies the request\n";

constexpr std::string_view NodeOptions = "  --node URL         administration API, default $WISTERIAFORK_NODE or http://127.0.0.1:7300\n"
                                         "  --token-file FILE  file with the bearer token, default $WISTERIAFORK_TOKEN\n"
                                         "  --ca-file FILE     certificate authority for https, PEM\n"
                                         "  --json             print the answer as JSON\n";

void printOverview(std::ostream &stream)
{
    stream << "usage: wisteriaforkctl COMMAND [OPTIONS] [OPERANDS]\n\nCommands:\n";
    for (const Command &command : commands()) {
        stream << "  " << command.name << std::string(22 - command.name.size(), ' ') << command.summary << "\n";
    }
    stream << "\nEach command has --help.\n\n" << ExitCodeHelp;
}

void printHelp(std::ostream &stream, const Command &command)
{
    stream << "usage: wisteriaforkctl " << command.name << " [OPTIONS]" << (command.operands.empty() ? "" : " ") << command.operands
           << "\n\n"
           << command.summary << "\n\nOptions:\n"
           << command.options;
    if (std::find(command.allowedOptions.begin(), command.allowedOptions.end(), "node") != command.allowedOptions.end()) {
        stream << NodeOptions;
    }
    stream << "  --help             print this help\n\n" << ExitCodeHelp;
}

// Returns the command that the first one or two arguments name; null if there is none.
const Command *findCommand(const std::vector<std::string> &arguments)
{
    for (const Command &command : commands()) {
        const std::size_t space = command.name.find(' ');
        const bool oneWord = space == std::string_view::npos;
        if (oneWord && !arguments.empty() && arguments[0] == command.name) {
            return &command;
        }
        if (!oneWord && arguments.size() >= 2 && arguments[0] == command.name.substr(0, space)
            && arguments[1] == command.name.substr(space + 1)) {
            return &command;
        }
    }
    return nullptr;
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> all{
        {"questionnaire check",
         "FILE",
         "Check a questionnaire and report all findings.",
         "  --strict           treat warnings as errors\n  --json             print the findings as JSON\n",
         {"strict", "json"},
         1,
         1,
         runQuestionnaireCheck},
        {"config generate",
         "FILE",
         "Generate the configuration from a questionnaire.",
         "  --output FILE      write the configuration there instead of to standard output\n"
         "  --published FILE   also write the value that is published on the platform\n"
         "  --previous FILE    configuration published before; gives the version\n"
         "  --version N        version, default one more than the previous one\n"
         "  --json             print findings and a summary as JSON (needs --output)\n",
         {"output", "published", "previous", "version", "json"},
         1,
         1,
         runConfigGenerate},
        {"config diff",
         "BEFORE AFTER",
         "Compare two configurations; exit code 1 if they differ.",
         "  --json             print the changes as JSON\n",
         {"json"},
         2,
         2,
         runConfigDiff},
        {"config show",
         "[FILE]",
         "Show a configuration from a file, or the one in force at a node.",
         "  --service NAME     show one service only\n",
         {"service", "json", "node", "token-file", "ca-file"},
         0,
         1,
         runConfigShow},
        {"node status", "", "Show the state of a node.", "", {"json", "node", "token-file", "ca-file"}, 0, 0, runNodeStatus},
        {"node drain",
         "",
         "Tell callers to stay away from a node.",
         "  --undo             take the drain back\n  --wait SECONDS     wait until the drain is complete\n",
         {"undo", "wait", "json", "node", "token-file", "ca-file"},
         0,
         0,
         runNodeDrain},
        {"outcomes",
         "",
         "Show goodput, refusals and recovery times.",
         "  --workspace NAME      show one workspace only\n",
         {"workspace", "json", "node", "token-file", "ca-file"},
         0,
         0,
         runOutcomes},
    };
    return all;
}

ExitCode runCtl(int argc, char **argv, std::ostream &out, std::ostream &err, const CtlDeployment &deployment)
{
    std::vector<std::string> arguments(argv + (argc > 0 ? 1 : 0), argv + argc);
    if (!arguments.empty() && (arguments[0] == "--help" || arguments[0] == "-h")) {
        printOverview(out);
        return ExitCode::Success;
    }
    const Command *command = findCommand(arguments);
    if (command == nullptr) {
        printOverview(err);
        return ExitCode::Usage;
    }
    const std::ptrdiff_t wordCount = command->name.find(' ') == std::string_view::npos ? 1 : 2;
    arguments.erase(arguments.begin(), arguments.begin() + wordCount);
    const auto parsedArguments = parseCtlArguments(std::move(arguments), command->allowedOptions);
    if (!parsedArguments) {
        err << "wisteriaforkctl " << command->name << ": " << parsedArguments.error() << " (see --help)\n";
        return ExitCode::Usage;
    }
    if (parsedArguments->help) {
        printHelp(out, *command);
        return ExitCode::Success;
    }
    if (parsedArguments->operands.size() < command->minOperands || parsedArguments->operands.size() > command->maxOperands) {
        err << "wisteriaforkctl " << command->name
            << ": expected operands: " << (command->operands.empty() ? std::string_view("none") : command->operands) << " (see --help)\n";
        return ExitCode::Usage;
    }
    return command->run(*parsedArguments, {.out = out, .err = err, .deployment = deployment});
}

} // namespace wisteriafork
