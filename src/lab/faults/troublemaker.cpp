#include "lab/faults/troublemaker.h"

#include <csignal>

namespace wisteriafork::lab {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds MinQuietTime{200};
constexpr milliseconds MaxQuietTime{1800};
constexpr milliseconds MinPause{50};
constexpr milliseconds MaxPause{1500};
constexpr milliseconds MaxDownTime{400};
constexpr milliseconds EndCheckInterval{20};
// Time after which a node that was asked to stop is killed; longer than its grace period.
constexpr milliseconds StopTimeout{5000};

constexpr LinkFaults ServerLinkFaults{.delayShare = 0.1,
                                      .maxDelay = milliseconds(80),
                                      .resetShare = 0.004,
                                      .cutShare = 0.01,
                                      .silenceShare = 0.004,
                                      .repeatShare = 0.05,
                                      .fragmentShare = 0.05};
constexpr LinkFaults PeerLinkFaults{
    .delayShare = 0.05, .maxDelay = milliseconds(80), .resetShare = 0.003, .cutShare = 0.003, .silenceShare = 0.002};
constexpr LinkFaults ClientLinkFaults{
    .delayShare = 0.05, .maxDelay = milliseconds(80), .resetShare = 0.004, .cutShare = 0.01, .silenceShare = 0.004};

} // namespace

Troublemaker::Troublemaker(asio::io_context &context, SoakDeployment &deployment, SoakMode mode, std::uint64_t seed)
    : m_context(context), m_deployment(deployment), m_mode(mode), m_random(seed)
{
}

void Troublemaker::start(std::chrono::steady_clock::time_point endTime)
{
    m_endTime = endTime;
    const bool linksFail = m_mode == SoakMode::Links || m_mode == SoakMode::Mixed;
    const bool processesFail = m_mode != SoakMode::Links && m_mode != SoakMode::Cancellations;
    for (SoakHost &host : m_deployment.hosts()) {
        if (linksFail) {
            host.serverLink->setFaults(ServerLinkFaults);
            host.peerLink->setFaults(PeerLinkFaults);
            host.clientLink->setFaults(ClientLinkFaults);
            asio::co_spawn(m_context, troubleLink(*host.peerLink), asio::detached);
            asio::co_spawn(m_context, troubleLink(*host.serverLink), asio::detached);
        }
        if (processesFail) {
            asio::co_spawn(m_context, troubleProcess(*host.node, host.name + " node", true), asio::detached);
        }
        if (processesFail && !hasPlannedStopsOnly(m_mode)) {
            asio::co_spawn(m_context, troubleProcess(*host.server, host.name + " server", false), asio::detached);
        }
    }
}

void Troublemaker::repair()
{
    for (SoakHost &host : m_deployment.hosts()) {
        for (FaultLink *link : {host.serverLink.get(), host.peerLink.get(), host.clientLink.get()}) {
            link->setFaults({});
        }
        for (ChildProcess *process : {host.server.get(), host.node.get()}) {
            process->sendSignal(SIGCONT);
        }
    }
}

asio::awaitable<void> Troublemaker::troubleProcess(ChildProcess &process, std::string name, bool isNode)
{
    co_await sleepBetween(MinQuietTime, MaxQuietTime);
    while (std::chrono::steady_clock::now() < m_endTime) {
        checkRunning(process, name);
        const int choice = std::uniform_int_distribution<int>(0, 9)(m_random);
        if (hasPlannedStopsOnly(m_mode)) {
            if (choice < 3) {
                process.sendSignal(SIGHUP);
            } else {
                co_await restart(process, SIGTERM);
            }
        } else if (choice < 5) {
            co_await pause(process);
        } else if (choice < 7) {
            co_await restart(process, SIGKILL);
        } else if (isNode && choice < 9) {
            co_await restart(process, SIGTERM);
        } else if (isNode) {
            process.sendSignal(SIGHUP);
        }
        co_await sleepBetween(MinQuietTime, MaxQuietTime);
    }
    checkRunning(process, name);
}

asio::awaitable<void> Troublemaker::troubleLink(FaultLink &link)
{
    co_await sleepBetween(MinQuietTime, MaxQuietTime);
    while (std::chrono::steady_clock::now() < m_endTime) {
        const milliseconds time(std::uniform_int_distribution<std::int64_t>(MinPause.count(), MaxPause.count())(m_random));
        const bool requests = draw(0.5);
        link.hold(requests ? FaultLink::Direction::Requests : FaultLink::Direction::Responses, time);
        if (draw(0.3)) {
            link.hold(requests ? FaultLink::Direction::Responses : FaultLink::Direction::Requests, time);
        }
        co_await sleepBetween(time + MinQuietTime, time + 2 * MaxQuietTime);
    }
}

asio::awaitable<void> Troublemaker::pause(ChildProcess &process)
{
    process.sendSignal(SIGSTOP);
    co_await sleepBetween(MinPause, MaxPause);
    process.sendSignal(SIGCONT);
}

asio::awaitable<void> Troublemaker::restart(ChildProcess &process, int signal)
{
    process.sendSignal(signal);
    const auto timeLimit = std::chrono::steady_clock::now() + StopTimeout;
    while (process.isRunning()) {
        if (std::chrono::steady_clock::now() > timeLimit) {
            process.kill();
        }
        co_await sleepBetween(EndCheckInterval, EndCheckInterval);
    }
    co_await sleepBetween(milliseconds(0), MaxDownTime);
    process.start();
}

asio::awaitable<void> Troublemaker::sleepBetween(milliseconds least, milliseconds most)
{
    const milliseconds time(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

void Troublemaker::checkRunning(ChildProcess &process, const std::string &name)
{
    if (!process.isRunning()) {
        m_unexpectedEnds.push_back(name);
        process.start();
    }
}

bool Troublemaker::draw(double share)
{
    return std::bernoulli_distribution(share)(m_random);
}

} // namespace wisteriafork::lab
