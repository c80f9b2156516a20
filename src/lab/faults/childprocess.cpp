#include "lab/faults/childprocess.h"

#include <cerrno>
#include <csignal>
#include <system_error>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wisteriafork::lab {

namespace {

constexpr mode_t OutputFileMode = 0644;
constexpr int ExecFailureStatus = 127;

// Replaces the forked process by the program. It ends with its parent, also if that crashes.
[[noreturn]] void runProgram(const std::vector<char *> &arguments, const char *outputFile, pid_t parent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(outputFile, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, OutputFileMode);
    if (getppid() == parent && output != -1 && dup2(output, STDOUT_FILENO) != -1 && dup2(output, STDERR_FILENO) != -1) {
        // A connection of the parent would stay open in the program after the parent has closed it.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(arguments[0], arguments.data());
    }
    _exit(ExecFailureStatus);
}

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, std::string outputFile)
    : m_command(std::move(command)), m_outputFile(std::move(outputFile))
{
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::start()
{
    std::vector<char *> arguments;
    for (const std::string &word : m_command) {
        // execv takes non-const pointers, but does not modify the words.
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const pid_t parent = getpid();
    m_processId = fork();
    if (m_processId == -1) {
        m_processId = 0;
        throw std::system_error(errno, std::generic_category(), m_command[0]);
    }
    if (m_processId == 0) {
        runProgram(arguments, m_outputFile.c_str(), parent);
    }
}

void ChildProcess::sendSignal(int number)
{
    if (isRunning()) {
        ::kill(m_processId, number);
    }
}

bool ChildProcess::isRunning()
{
    if (m_processId != 0 && waitpid(m_processId, nullptr, WNOHANG) == m_processId) {
        m_processId = 0;
    }
    return m_processId != 0;
}

void ChildProcess::kill()
{
    if (isRunning()) {
        ::kill(m_processId, SIGKILL);
        while (waitpid(m_processId, nullptr, 0) == -1 && errno == EINTR) { }
        m_processId = 0;
    }
}

} // namespace wisteriafork::lab
