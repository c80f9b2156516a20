#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace wisteriafork {

// A `wisteriafork-node` process of a test, with its settings file in a temporary directory.
class NodeProcess
{
public:
    // Starts the process and waits until it accepts callers.
    NodeProcess(const std::string &directory, const std::string &name, const std::string &settings, std::uint16_t callerPort);
    // Kills the process if it still runs.
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    void sendSignal(int signal) const;
    bool isRunning();
    // Waits for the end of the process. Gives its exit status, or empty if it was killed by a signal or does not end in time.
    std::optional<int> waitForExit(std::chrono::seconds bound);
    // User and system time that the process has used.
    std::chrono::microseconds cpuTime() const;

    pid_t pid() const
    {
        return m_pid;
    }

private:
    pid_t m_pid = -1;
    bool m_ended = false;
    int m_status = 0;
};

// A port of the loopback interface that was free a moment ago.
std::uint16_t freePort();

} // namespace wisteriafork
