#include "nodeprocess.h"

#include "net/asio.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wisteriafork {

namespace {

bool accepts(std::uint16_t port)
{
    asio::io_context context;
    Tcp::socket socket(context);
    ErrorCode error;
    socket.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), port), error);
    return !error;
}

} // namespace

std::uint16_t freePort()
{
    // Below the range from which the kernel takes ports for outgoing connections.
    constexpr std::uint16_t First = 20000;
    constexpr std::uint16_t Count = 10000;
    static std::uint16_t next = static_cast<std::uint16_t>(getpid() * 37 % Count);
    asio::io_context context;
    for (;;) {
        next = static_cast<std::uint16_t>((next + 1) % Count);
        const auto port = static_cast<std::uint16_t>(First + next);
        Tcp::acceptor acceptor(context);
        ErrorCode error;
        acceptor.open(Tcp::v4(), error);
        acceptor.bind(Tcp::endpoint(asio::ip::address_v4::loopback(), port), error);
        if (!error) {
            return port;
        }
    }
}

NodeProcess::NodeProcess(const std::string &directory, const std::string &name, const std::string &settings, std::uint16_t callerPort)
{
    std::string file = directory + "/" + name + ".json";
    std::ofstream(file) << settings;
    const std::string logFile = directory + "/" + name + ".err";
    std::string program = WISTERIAFORK_NODE;
    std::string option = "--settings";
    char *arguments[] = {program.data(), option.data(), file.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    const int error = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("the node process cannot be started");
    }
    const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!accepts(callerPort)) {
        if (!isRunning() || std::chrono::steady_clock::now() > bound) {
            std::ostringstream text;
            text << std::ifstream(logFile).rdbuf();
            throw std::runtime_error("the node process does not accept callers: " + text.str());
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

NodeProcess::~NodeProcess()
{
    if (isRunning()) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, &m_status, 0);
    }
}

void NodeProcess::sendSignal(int signal) const
{
    kill(m_pid, signal);
}

bool NodeProcess::isRunning()
{
    if (!m_ended && waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
        m_ended = true;
    }
    return !m_ended;
}

std::optional<int> NodeProcess::waitForExit(std::chrono::seconds bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (isRunning() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return m_ended && WIFEXITED(m_status) ? std::optional(WEXITSTATUS(m_status)) : std::nullopt;
}

std::chrono::microseconds NodeProcess::cpuTime() const
{
    std::ifstream stat("/proc/" + std::to_string(m_pid) + "/stat");
    std::string field;
    std::int64_t ticks = 0;
    // The process name in the second field has no spaces; user and system time are the 14th and 15th field.
    for (int i = 1; i <= 15 && stat >> field; ++i) {
        if (i >= 14) {
            ticks += std::stoll(field);
        }
    }
    return std::chrono::microseconds(ticks * 1000000 / sysconf(_SC_CLK_TCK));
}

} // namespace wisteriafork
