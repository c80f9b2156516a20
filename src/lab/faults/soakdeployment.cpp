#include "lab/faults/soakdeployment.h"

#include "core/config/configurationdocument.h"
#include "core/config/generator.h"

#include <fstream>
#include <stdexcept>
#include <thread>

#include <nlohmann/json.hpp>

namespace wisteriafork::lab {

namespace asio = boost::asio;

namespace {

constexpr std::size_t HostsPerService = 2;
// Slots and queue of a server. The list of instances states more slots, so that servers refuse requests themselves.
constexpr unsigned ServerSlots = 4;
constexpr unsigned ServerQueue = 2;
constexpr unsigned ListedSlots = 8;
constexpr unsigned ServiceTimeMicroseconds = 15'000;
constexpr unsigned LongServiceTimeMicroseconds = 900'000;
constexpr unsigned PaddingBytes = 20'000;
constexpr unsigned CallersWaitMilliseconds = 1500;
constexpr unsigned LongCallersWaitMilliseconds = 9000;
constexpr unsigned GraceMilliseconds = 4000;
constexpr std::chrono::seconds StartTimeout{10};

// Uses of the ports of a host.
enum PortUse : std::size_t {
    CallerPort,
    ReadinessPort,
    PeerPort,
    ServerPort,
    ClientLinkPort,
    PeerLinkPort,
    ServerLinkPort,
    PortsPerHost,
};

bool accepts(std::uint16_t port)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({asio::ip::address_v4::loopback(), port}, error);
    return !error;
}

} // namespace

SoakDeployment::SoakDeployment(asio::io_context &context, const FaultSoakOptions &options, std::filesystem::path directory,
                               const SoakDeploymentOptions &deploymentOptions)
    : m_options(options), m_directory(std::move(directory)), m_hasLongWaits(deploymentOptions.mode == SoakMode::Waits)
{
    const std::uint64_t seed = deploymentOptions.seed;
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
    for (unsigned service = 0; service < deploymentOptions.services; ++service) {
        m_services.push_back("s" + std::to_string(service));
        for (std::size_t number = 0; number < HostsPerService; ++number) {
            m_hosts.push_back({.name = m_services.back() + "-" + std::to_string(number)});
        }
    }
    const GenerationResult generated = generateConfiguration(questionnaire(), 1);
    if (!generated.configuration) {
        throw std::runtime_error("the questionnaire of the soak is invalid: " + findingsToJson(generated.findings));
    }
    writeFile("configuration.json", configurationToJson(*generated.configuration));
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        SoakHost &host = m_hosts[index];
        host.logFile = m_directory / (host.name + ".log");
        host.journalFile = m_directory / (host.name + ".journal");
        host.clientPort = port(index, ClientLinkPort);
        writeFile(host.name + ".instances.json", instancesFor(index));
        writeFile(host.name + ".json", nodeSettings(index));
        const std::string settingsFile = m_directory / (host.name + ".json");
        host.node = std::make_unique<ChildProcess>(std::vector<std::string>{options.nodeProgram, "--settings", settingsFile},
                                                   m_directory / (host.name + ".node.out"));
        host.server = std::make_unique<ChildProcess>(serverCommand(index, seed + index), m_directory / (host.name + ".server.out"));
        host.clientLink = std::make_unique<FaultLink>(context, host.clientPort, port(index, CallerPort), seed * 1000 + 10 * index);
        host.peerLink
            = std::make_unique<FaultLink>(context, port(index, PeerLinkPort), port(index, PeerPort), seed * 1000 + 10 * index + 1);
        host.serverLink
            = std::make_unique<FaultLink>(context, port(index, ServerLinkPort), port(index, ServerPort), seed * 1000 + 10 * index + 2);
    }
}

void SoakDeployment::start()
{
    for (SoakHost &host : m_hosts) {
        host.server->start();
        host.node->start();
        host.clientLink->start();
        host.peerLink->start();
        host.serverLink->start();
    }
    const auto timeLimit = std::chrono::steady_clock::now() + StartTimeout;
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        for (const PortUse use : {CallerPort, ServerPort}) {
            while (!accepts(port(index, use))) {
                if (std::chrono::steady_clock::now() > timeLimit) {
                    throw std::runtime_error(m_hosts[index].name + " does not accept connections at " + address(index, use));
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
        }
    }
}

std::string SoakDeployment::questionnaire() const
{
    const unsigned callersWait = m_hasLongWaits ? LongCallersWaitMilliseconds : CallersWaitMilliseconds;
    nlohmann::json services = nlohmann::json::array();
    for (std::size_t index = 0; index < m_services.size(); ++index) {
        const std::string prefix = "/" + m_services[index] + "/";
        const nlohmann::json calls
            = index + 1 < m_services.size() ? nlohmann::json::array({m_services[index + 1]}) : nlohmann::json::array();
        const nlohmann::json booking{
            {"id", "book"},        {"method", "POST"}, {"pathPrefix", prefix + "book"}, {"purpose", "booking"}, {"importance", "high"},
            {"idempotent", false}, {"calls", calls},   {"callersWaitMs", callersWait}};
        const nlohmann::json view{
            {"id", "view"},       {"method", "GET"}, {"pathPrefix", prefix + "view"}, {"purpose", "read"}, {"importance", "normal"},
            {"idempotent", true}, {"calls", calls},  {"callersWaitMs", callersWait}};
        services.push_back({{"id", m_services[index]},
                            {"pathPrefix", prefix},
                            {"instances", HostsPerService},
                            {"slots", ListedSlots},
                            {"connections", 400},
                            {"operations", {booking, view}}});
    }
    return nlohmann::json{{"name", "soak"}, {"failureDomains", {"north", "south"}}, {"workspaces", {"clients"}}, {"services", services}}
        .dump();
}

std::string SoakDeployment::instancesFor(std::size_t host) const
{
    nlohmann::json instances = nlohmann::json::array();
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        // A node recognizes the instance beside it by its own address, so only the others are reached through links.
        instances.push_back({{"id", m_hosts[index].name},
                             {"service", m_services[index / HostsPerService]},
                             {"domain", index % HostsPerService == 0 ? "north" : "south"},
                             {"server", address(index, ServerLinkPort)},
                             {"peers", address(index, index == host ? PeerPort : PeerLinkPort)},
                             {"slots", ListedSlots}});
    }
    return nlohmann::json{{"instances", instances}}.dump();
}

std::string SoakDeployment::nodeSettings(std::size_t host) const
{
    return nlohmann::json{
        {"node",
         {{"name", m_hosts[host].name},
          {"service", m_services[host / HostsPerService]},
          {"domain", host % HostsPerService == 0 ? "north" : "south"}}},
        {"listen",
         {{"callers", address(host, CallerPort)}, {"peers", address(host, PeerPort)}, {"readiness", address(host, ReadinessPort)}}},
        {"server", {{"address", address(host, ServerLinkPort)}, {"echoesRequestId", m_options.echo}}},
        {"stop", {{"graceMs", GraceMilliseconds}}},
        {"configuration", "configuration.json"},
        {"instances", m_hosts[host].name + ".instances.json"},
        {"plaintext", true},
        {"log", {{"level", "info"}, {"file", m_hosts[host].name + ".log"}}}}
        .dump();
}

std::vector<std::string> SoakDeployment::serverCommand(std::size_t host, std::uint64_t seed) const
{
    std::vector<std::string> command{m_options.labProgram,
                                     "server",
                                     "--name",
                                     m_hosts[host].name,
                                     "--port",
                                     std::to_string(port(host, ServerPort)),
                                     "--slots",
                                     std::to_string(ServerSlots),
                                     "--queue",
                                     std::to_string(ServerQueue),
                                     "--service-time-us",
                                     std::to_string(m_hasLongWaits ? LongServiceTimeMicroseconds : ServiceTimeMicroseconds),
                                     "--seed",
                                     std::to_string(seed),
                                     "--journal",
                                     m_hosts[host].journalFile,
                                     "--framing",
                                     "mixed",
                                     "--padding",
                                     std::to_string(PaddingBytes)};
    const std::size_t next = host / HostsPerService + 1;
    if (next < m_services.size()) {
        for (const std::string &word :
             {std::string("--call"), "POST:/" + m_services[next] + "/book", std::string("--via"), address(host, CallerPort)}) {
            command.push_back(word);
        }
    }
    return command;
}

std::uint16_t SoakDeployment::port(std::size_t host, std::size_t use) const
{
    return static_cast<std::uint16_t>(m_options.firstPort + host * PortsPerHost + use);
}

std::string SoakDeployment::address(std::size_t host, std::size_t use) const
{
    return "127.0.0.1:" + std::to_string(port(host, use));
}

void SoakDeployment::writeFile(const std::string &name, const std::string &text) const
{
    std::ofstream(m_directory / name) << text;
}

} // namespace wisteriafork::lab
