#pragma once

#include "core/config/findings.h"

#include <functional>
#include <iosfwd>
#include <string>

namespace wisteriafork {

// A program that runs one node from a settings file.
struct NodeProgram
{
    std::string name;
    // Sentence for the help text.
    std::string summary;
    // Text of the help on signals, beside the planned stop that all programs share.
    std::string signalsHelp;
    // Settings file where the command line names none; empty if it must name one.
    std::string defaultSettingsFile;
    // Reads the text of the settings file. The result runs the node and returns the exit status; all problems are reported together.
    std::function<ValueOrFindings<std::function<int()>>(const std::string &file, const std::string &text)> prepareRun;
};

// Runs the program and returns its exit status: 0 success, 1 failure at run time, 2 wrong arguments or settings, 3 planned stop broken off.
int runNodeProgram(int argc, char **argv, const NodeProgram &program, std::ostream &out, std::ostream &err);

} // namespace wisteriafork
