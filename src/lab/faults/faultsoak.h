#pragma once

#include "lab/commandline.h"
#include "lab/faults/soakjudge.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace wisteriafork::lab {

struct FaultSoakResult
{
    // Requests of clients.
    std::size_t requests = 0;
    // One line about the run: its faults and the responses by kind.
    std::string summary;
    // One text for each violation, with the log lines of the nodes about the request.
    std::vector<std::string> findings;
};

// One run of the fault soak: real nodes and stand-in servers as processes on this machine, clients, and faults that are injected from
// outside. Nodes are judged only by what clients got and servers ran.
class FaultSoak
{
public:
    FaultSoak(const FaultSoakOptions &options, std::uint64_t seed);

    // Plays the run and judges it. Throws std::exception if a process cannot be started.
    FaultSoakResult run();

private:
    std::string describeFinding(const SoakFinding &finding, const std::vector<std::string> &logFiles) const;
    std::string summarize(const std::vector<SoakRequest> &requests, unsigned services) const;

    const FaultSoakOptions &m_options;
    const std::uint64_t m_seed;
    const SoakMode m_mode;
    const std::filesystem::path m_directory;
};

} // namespace wisteriafork::lab
