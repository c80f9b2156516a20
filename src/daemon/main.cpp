#include "daemon/daemon.h"
#include "program/nodeprogram.h"

#include <chrono>
#include <fstream>
#include <iostream>

namespace {

using namespace wisteriafork;

// Runs the node and returns the exit status of the process. The start time identifies this run of the node and seeds its random numbers.
int runNode(Settings settings)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    settings.relay.incarnation = static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    settings.relay.seed = settings.relay.incarnation;
    std::ofstream logFile;
    if (!settings.logFile.empty()) {
        logFile.open(settings.logFile, std::ios::app);
    }
    EventLog log(settings.log, logFile.is_open() ? static_cast<std::ostream &>(logFile) : std::cerr);
    Daemon daemon(settings, log);
    return daemon.run();
}

ValueOrFindings<std::function<int()>> prepareNode(const std::string &file, const std::string &text)
{
    const std::size_t slash = file.rfind('/');
    return parseSettings(text, slash == std::string::npos ? std::string() : file.substr(0, slash))
        .map([](Settings settings) -> std::function<int()> {
            return [settings = std::move(settings)] {
                return runNode(settings);
            };
        });
}

} // namespace

int main(int argc, char **argv)
{
    const NodeProgram program{
        .name = "wisteriafork-node",
        .summary = "Runs one node beside a backend server.",
        .signalsHelp = "A second signal, or the bound in the settings, breaks off what is left and gives\n"
                       "status 3. SIGHUP reads the configuration and the list of instances again.",
        .prepareRun = prepareNode,
    };
    return runNodeProgram(argc, argv, program, std::cout, std::cerr);
}
