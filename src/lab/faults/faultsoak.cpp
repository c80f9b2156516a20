#include "lab/faults/faultsoak.h"

#include "lab/faults/soakclient.h"
#include "lab/faults/soakdeployment.h"
#include "lab/faults/troublemaker.h"

#include <array>
#include <fstream>
#include <map>

namespace wisteriafork::lab {

namespace {

constexpr std::array<SoakMode, 4> Modes{SoakMode::Mixed, SoakMode::Links, SoakMode::Signals, SoakMode::Planned};
// Seeds with these remainders play other modes than those above.
constexpr std::uint64_t OtherModesDivisor = 12;
constexpr std::uint64_t WaitsRemainder = 10;
constexpr std::uint64_t CancellationsRemainder = 11;
// Time between the start of the processes and the first request, for the nodes to read their configuration.
constexpr std::chrono::milliseconds WarmUpTime{300};
// Time after the last request in which a request that was refused could still run: the longest deadline, and the time after it for which a
// node keeps a connection open.
constexpr std::chrono::milliseconds SettlingTime{3500};
constexpr std::chrono::milliseconds WaitsSettlingTime{11'000};
constexpr unsigned MinServices = 2;
constexpr std::size_t MaxLogLinesPerFinding = 12;

SoakMode modeOf(std::uint64_t seed)
{
    switch (seed % OtherModesDivisor) {
    case WaitsRemainder:
        return SoakMode::Waits;
    case CancellationsRemainder:
        return SoakMode::Cancellations;
    default:
        return Modes[seed % Modes.size()];
    }
}

SoakClientOptions clientOptions(SoakMode mode)
{
    SoakClientOptions options;
    if (hasPlannedStopsOnly(mode)) {
        options.partialShare = 0.0;
        options.abandonShare = 0.0;
    }
    if (mode == SoakMode::Waits) {
        // Longer than the grace period of a node, and within the time-out of the routes.
        options.minDeadline = std::chrono::milliseconds(5000);
        options.maxDeadline = std::chrono::milliseconds(8500);
    }
    if (mode == SoakMode::Cancellations) {
        options.abandonShare = 0.7;
        options.maxPatience = std::chrono::milliseconds(12);
        options.maxThinkTime = std::chrono::milliseconds(4);
    }
    return options;
}

} // namespace

FaultSoak::FaultSoak(const FaultSoakOptions &options, std::uint64_t seed)
    : m_options(options)
    , m_seed(seed)
    , m_mode(modeOf(seed))
    , m_directory(std::filesystem::absolute(options.directory) / ("seed-" + std::to_string(seed)))
{
}

FaultSoakResult FaultSoak::run()
{
    asio::io_context context(1);
    const auto services = static_cast<unsigned>(MinServices + m_seed / Modes.size() % 2);
    SoakDeployment deployment(context, m_options, m_directory, {.seed = m_seed, .services = services, .mode = m_mode});
    deployment.start();
    context.run_for(WarmUpTime);
    const auto endTime = std::chrono::steady_clock::now() + m_options.loadTime;
    std::vector<std::uint16_t> ports;
    for (const SoakHost &host : deployment.hosts()) {
        ports.push_back(host.clientPort);
    }
    std::vector<std::unique_ptr<SoakClient>> clients;
    for (unsigned number = 0; number < m_options.clients; ++number) {
        SoakClientOptions clientSettings = clientOptions(m_mode);
        clientSettings.name = "c" + std::to_string(number);
        clientSettings.ports = ports;
        clientSettings.services = deployment.services();
        clientSettings.endTime = endTime;
        clientSettings.seed = m_seed * 1'000'000 + number;
        clients.push_back(std::make_unique<SoakClient>(context, std::move(clientSettings)));
        asio::co_spawn(context, clients.back()->run(), asio::detached);
    }
    Troublemaker troublemaker(context, deployment, m_mode, m_seed);
    troublemaker.start(endTime);
    context.run_until(endTime);
    troublemaker.repair();
    context.run_for(m_mode == SoakMode::Waits ? WaitsSettlingTime : SettlingTime);

    FaultSoakResult result;
    std::vector<SoakRequest> requests;
    for (const auto &client : clients) {
        requests.insert(requests.end(), client->requests().begin(), client->requests().end());
    }
    std::vector<ServerJournal> journals;
    std::vector<std::string> logFiles;
    for (SoakHost &host : deployment.hosts()) {
        host.server->kill();
        host.node->kill();
        journals.push_back({.server = host.name, .content = readJournal(host.journalFile)});
        logFiles.push_back(host.logFile);
    }
    for (const SoakFinding &finding : judgeSoak(requests, journals, m_mode)) {
        result.findings.push_back(describeFinding(finding, logFiles));
    }
    for (const std::string &name : troublemaker.unexpectedEnds()) {
        result.findings.push_back("ENDED: the process of the " + name + " ended by itself");
    }
    result.requests = requests.size();
    result.summary = summarize(requests, services);
    if (result.findings.empty()) {
        std::filesystem::remove_all(m_directory);
    }
    return result;
}

std::string FaultSoak::describeFinding(const SoakFinding &finding, const std::vector<std::string> &logFiles) const
{
    std::string text = finding.rule + " " + finding.requestId + ": " + finding.text;
    std::size_t lines = 0;
    for (const std::string &file : logFiles) {
        std::ifstream log(file);
        for (std::string line; std::getline(log, line) && lines < MaxLogLinesPerFinding;) {
            if (line.find("\"" + finding.requestId + "\"") != std::string::npos) {
                text += "\n  " + std::filesystem::path(file).stem().string() + ": " + line;
                ++lines;
            }
        }
    }
    return text;
}

std::string FaultSoak::summarize(const std::vector<SoakRequest> &requests, unsigned services) const
{
    std::map<unsigned, std::size_t> countByStatus;
    for (const SoakRequest &request : requests) {
        ++countByStatus[request.status];
    }
    std::string text = std::string(soakModeName(m_mode)) + ", " + std::to_string(services) + " services, " + std::to_string(requests.size())
        + " requests;";
    for (const auto &[status, count] : countByStatus) {
        text += " " + (status == 0 ? std::string("none") : std::to_string(status)) + " " + std::to_string(count);
    }
    return text;
}

} // namespace wisteriafork::lab
