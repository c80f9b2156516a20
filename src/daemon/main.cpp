#include "daemon/daemon.h"
#include "program/nodeprogram.h"

#include <chrono>
#include <fstream>
#include <iostream>

namespace {

using namespace wisteriafork;

int runNode(Settings settings)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    settings.relay.incarnation = static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    settings.relay.seed = settings.relay.incarnation;
    std::ofstream file;
    if (!settings.logFile.empty()) {
        file.open(settings.logFile, std::ios::app);
    }
    EventLog log(settings.log, file.is_open() ? static_cast<std::ostream &>(file) : std::cerr);
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
