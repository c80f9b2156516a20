#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace wisteriafork::lab {

// A program that the soak starts, signals and starts again. The destructor kills it. Only processes that this object started are signalled.
class ChildProcess
{
public:
    // `command` is the path of the program and its arguments. Standard output and standard error are appended to `outputFile`.
    ChildProcess(std::vector<std::string> command, std::string outputFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    // Starts the program; the previous run must have ended. Throws std::system_error if there is no process for
    // it; a program that cannot be executed ends with status 127.
    void start();
    // Sends a signal, if the program runs.
    void sendSignal(int number);
    // True until the program has ended.
    bool isRunning();
    // Kills the program, if it runs, and waits for its end.
    void kill();

private:
    const std::vector<std::string> m_command;
    const std::string m_outputFile;
    pid_t m_processId = 0;
};

} // namespace wisteriafork::lab
