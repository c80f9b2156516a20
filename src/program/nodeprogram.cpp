#include "program/nodeprogram.h"

#include "program/commandline.h"

#include <exception>
#include <fstream>
#include <iterator>
#include <ostream>

namespace wisteriafork {

namespace {

constexpr int RuntimeFailureStatus = 1;
constexpr int UsageFailureStatus = 2;

std::string helpText(const NodeProgram &program)
{
    std::string text;
    text += "Usage: " + program.name + (program.defaultSettingsFile.empty() ? " --settings FILE" : " [--settings FILE]") + " [--check]\n\n";
    text += program.summary + "\n\n";
    text += "  --settings FILE  JSON file with the settings of this node\n";
    if (!program.defaultSettingsFile.empty()) {
        text += "                   (without it " + program.defaultSettingsFile + ")\n";
    }
    text += "  --check          check the settings, print all findings and exit\n"
            "  --help           print this text and exit\n"
            "  --version        print the version and exit\n"
            "\n"
            "SIGTERM and SIGINT begin a planned stop: requests in flight are finished, and\n"
            "the process exits with status 0.\n";
    text += program.signalsHelp + "\n";
    text += "Exit status: 0 success, 1 failure at run time, 2 wrong arguments or settings.\n";
    return text;
}

// Reads the settings file. Returns a function that runs the node, or the findings.
ValueOrFindings<std::function<int()>> readSettingsFile(const NodeProgram &program, const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return tl::unexpected(Findings{{.message = "the file cannot be read"}});
    }
    return program.prepareRun(file, std::string(std::istreambuf_iterator<char>(stream), {}));
}

} // namespace

int runNodeProgram(int argc, char **argv, const NodeProgram &program, std::ostream &out, std::ostream &err)
{
    const auto commandLine = parseCommandLine(argc, argv, program.defaultSettingsFile);
    if (!commandLine) {
        err << program.name << ": " << commandLine.error() << "\n\n" << helpText(program);
        return UsageFailureStatus;
    }
    if (commandLine->mode == CommandLineMode::Help) {
        out << helpText(program);
        return 0;
    }
    if (commandLine->mode == CommandLineMode::Version) {
        out << program.name << " " WISTERIAFORK_VERSION "\n";
        return 0;
    }
    const auto run = readSettingsFile(program, commandLine->settingsFile);
    if (!run) {
        for (const Finding &finding : run.error()) {
            err << commandLine->settingsFile << ": " << describeFinding(finding) << '\n';
        }
        return UsageFailureStatus;
    }
    if (commandLine->mode == CommandLineMode::Check) {
        out << commandLine->settingsFile << ": no findings\n";
        return 0;
    }
    try {
        return (*run)();
    } catch (const std::exception &failure) {
        err << program.name << ": " << failure.what() << '\n';
        return RuntimeFailureStatus;
    }
}

} // namespace wisteriafork
