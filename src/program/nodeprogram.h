#pragma once

#include "core/config/findings.h"

#include <functional>
#include <iosfwd>
#include <string>

namespace wisteriafork {

// Describes a program that runs one node from a settings file.
struct NodeProgram
{
    // Name of the executable, printed in the help text and before error messages.
    std::string name;
    // One sentence of the help text: what the program does.
    std::string summary;
    // Lines of the help text on further signals. They follow the lines on SIGTERM and SIGINT, which all node programs share.
    std::string signalsHelp;
    // Settings file that is used without the option --settings; if empty, the option is required.
    std::string defaultSettingsFile;
    // Parses the text of the settings file `file`. Returns either a function that runs the node and returns its exit status, or all
    // findings.
    std::function<ValueOrFindings<std::function<int()>>(const std::string &file, const std::string &text)> prepareRun;
};

// Runs the program and returns its exit status: 0 success, 1 failure at run time, 2 wrong arguments or settings, or the status that the run
// of the node returns, for example 3 after an aborted planned stop. Results go to `out`, messages to `err`.
int runNodeProgram(int argc, char **argv, const NodeProgram &program, std::ostream &out, std::ostream &err);

} // namespace wisteriafork
