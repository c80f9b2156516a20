#pragma once

#include "lab/commandline.h"
#include "lab/faults/childprocess.h"
#include "lab/faults/faultlink.h"
#include "lab/faults/soakmode.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace wisteriafork::lab {

// A node with its stand-in server, and the faulty links through which others reach them.
struct SoakHost
{
    // Name of the instance, for example "s0-1".
    std::string name;
    std::string logFile;
    std::string journalFile;
    std::unique_ptr<ChildProcess> node;
    std::unique_ptr<ChildProcess> server;
    // From clients to the node, from other nodes to the node, and from the node to its server.
    std::unique_ptr<FaultLink> clientLink;
    std::unique_ptr<FaultLink> peerLink;
    std::unique_ptr<FaultLink> serverLink;
    std::uint16_t clientPort = 0;
};

// What distinguishes the deployments of the runs.
struct SoakDeploymentOptions
{
    std::uint64_t seed = 0;
    unsigned services = 0;
    SoakMode mode = SoakMode::Planned;
};

// The processes and links of one run: a chain of services in which each booking makes a booking at the next service, with two hosts for
// each service. Writes all files into the directory, which it empties first.
class SoakDeployment
{
public:
    SoakDeployment(boost::asio::io_context &context, const FaultSoakOptions &options, std::filesystem::path directory,
                   const SoakDeploymentOptions &deploymentOptions);

    // Starts all processes and links. Throws std::runtime_error if a node does not accept connections in time.
    void start();

    std::vector<SoakHost> &hosts()
    {
        return m_hosts;
    }

    const std::vector<std::string> &services() const
    {
        return m_services;
    }

private:
    std::string questionnaire() const;
    std::string instancesFor(std::size_t host) const;
    std::string nodeSettings(std::size_t host) const;
    std::vector<std::string> serverCommand(std::size_t host, std::uint64_t seed) const;
    std::uint16_t port(std::size_t host, std::size_t use) const;
    std::string address(std::size_t host, std::size_t use) const;
    void writeFile(const std::string &name, const std::string &text) const;

    const FaultSoakOptions &m_options;
    const std::filesystem::path m_directory;
    // Requests wait long for a slot.
    const bool m_hasLongWaits;
    std::vector<std::string> m_services;
    std::vector<SoakHost> m_hosts;
};

} // namespace wisteriafork::lab
