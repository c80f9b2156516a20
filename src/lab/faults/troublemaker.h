#pragma once

#include "lab/faults/soakdeployment.h"
#include "lab/faults/soakmode.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace wisteriafork::lab {

// Injects the faults of one run into its links and processes, as drawn from the seed.
class Troublemaker
{
public:
    Troublemaker(boost::asio::io_context &context, SoakDeployment &deployment, SoakMode mode, std::uint64_t seed);

    // Starts to inject faults until the given time; returns at once.
    void start(std::chrono::steady_clock::time_point endTime);
    // Ends all faults: the links pass all data, all processes run. Call after the end time.
    void repair();

    // Processes that ended without a signal of this object.
    const std::vector<std::string> &unexpectedEnds() const
    {
        return m_unexpectedEnds;
    }

private:
    boost::asio::awaitable<void> troubleProcess(ChildProcess &process, std::string name, bool isNode);
    boost::asio::awaitable<void> troubleLink(FaultLink &link);
    boost::asio::awaitable<void> pause(ChildProcess &process);
    boost::asio::awaitable<void> restart(ChildProcess &process, int signal);
    boost::asio::awaitable<void> sleepBetween(std::chrono::milliseconds least, std::chrono::milliseconds most);
    // Records a process that has ended by itself and starts it again.
    void checkRunning(ChildProcess &process, const std::string &name);
    bool draw(double share);

    boost::asio::io_context &m_context;
    SoakDeployment &m_deployment;
    const SoakMode m_mode;
    std::mt19937_64 m_random;
    std::chrono::steady_clock::time_point m_endTime;
    std::vector<std::string> m_unexpectedEnds;
};

} // namespace wisteriafork::lab
