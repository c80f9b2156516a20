#include "core/relay/placement.h"
#include "published/simulatedsource.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

constexpr double WorkSeconds = 0.1;
constexpr unsigned Slots = 20;
constexpr Duration Run = 12s;
constexpr Duration Start = 4s;

enum class Choice : std::uint8_t {
    Random,
    // By the load alone, as with backend servers that do not tell their speed.
    ByLoad,
    ByLoadAndSpeed,
};

struct Result
{
    // Greatest ratio, over all seconds and servers, of the work given to a server to its fair part by what it can finish.
    double busiestToFair = 0.0;
    double waitP50 = 0.0;
    double waitP99 = 0.0;
};

// Senders that each choose by their own reports, which are old, between servers whose speed differs and changes.
class LoadModel
{
public:
    LoadModel(Choice choice, unsigned senders, unsigned servers, Duration reportAge)
        : m_choice(choice), m_reportAge(reportAge), m_servers(servers)
    {
        for (unsigned number = 0; number < servers; ++number) {
            m_instances.push_back({.id = "i" + std::to_string(number), .service = ServiceId("s"), .domain = DomainId("d"), .slots = Slots});
            m_servers[number].meanSpeed = 0.5 + 1.2 * number / (servers - 1);
            changeSpeed(number);
        }
        for (unsigned number = 0; number < senders; ++number) {
            m_senders.push_back(std::make_unique<Placement>(PlacementOptions{}, DomainId("d"), m_time.clock, m_random));
        }
    }

    // `utilization` is the mean share of what all servers can finish. The load comes in waves of a second.
    Result run(double utilization)
    {
        double capacity = 0.0;
        for (const Server &server : m_servers) {
            capacity += server.meanSpeed * Slots / WorkSeconds;
        }
        sendNext(utilization * capacity);
        m_time.runFor(Run);
        std::ranges::sort(m_waits);
        Result result{.waitP50 = m_waits[m_waits.size() / 2], .waitP99 = m_waits[m_waits.size() * 99 / 100]};
        for (std::size_t second = static_cast<std::size_t>(Start / 1s); second + 1 < static_cast<std::size_t>(Run / 1s); ++second) {
            double total = 0.0;
            for (const Server &server : m_servers) {
                total += server.givenInSecond[second];
            }
            for (const Server &server : m_servers) {
                const double fair = total * server.meanSpeed * Slots / WorkSeconds / capacity;
                result.busiestToFair = std::max(result.busiestToFair, server.givenInSecond[second] / fair);
            }
        }
        return result;
    }

private:
    struct Server
    {
        double meanSpeed = 1.0;
        double speed = 1.0;
        unsigned running = 0;
        double holdingSeconds = WorkSeconds;
        std::deque<std::pair<TimePoint, std::function<void()>>> queue;
        std::deque<std::pair<TimePoint, ServingReport>> reports;
        std::array<double, Run / 1s + 1> givenInSecond{};
    };

    // Other programs on the host begin and end work.
    void changeSpeed(unsigned number)
    {
        m_servers[number].speed = m_servers[number].meanSpeed * std::uniform_real_distribution<double>(0.75, 1.25)(m_random);
        m_time.after(std::chrono::milliseconds(std::uniform_int_distribution<int>(100, 400)(m_random)),
                     [this, number] { changeSpeed(number); });
    }

    void sendNext(double perSecond)
    {
        const double phase = std::chrono::duration<double>(m_time.clock.now() - TimePoint(24h)).count();
        const double rate = perSecond * (1.0 + 0.2 * std::sin(6.283 * phase));
        m_time.after(
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution<double>(rate)(m_random))),
            [this, perSecond] {
                sendCall();
                sendNext(perSecond);
            });
    }

    void sendCall()
    {
        const unsigned sender = std::uniform_int_distribution<unsigned>(0, static_cast<unsigned>(m_senders.size()) - 1)(m_random);
        unsigned chosen = std::uniform_int_distribution<unsigned>(0, static_cast<unsigned>(m_servers.size()) - 1)(m_random);
        Placement &placement = *m_senders[sender];
        if (m_choice != Choice::Random) {
            chosen = static_cast<unsigned>(placement.choose(m_instances, {}, "r", 1s) - m_instances.data());
        }
        placement.onRequestSent(m_instances[chosen].id);
        Server &server = m_servers[chosen];
        server.givenInSecond[static_cast<std::size_t>((m_time.clock.now() - TimePoint(24h)) / 1s)] += 1.0;
        server.queue.emplace_back(m_time.clock.now(), [this, &server, &placement, chosen, sent = m_time.clock.now()] {
            const Duration held = m_time.clock.now() - sent;
            ServingReport report{.concurrencyLimit = Slots,
                                 .runningRequests = server.running,
                                 .queuedRequests = static_cast<std::uint32_t>(server.queue.size()),
                                 .holdingTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(server.holdingSeconds))};
            if (m_choice == Choice::ByLoadAndSpeed) {
                report.slowdownPercent = static_cast<std::uint32_t>(100.0 * server.meanSpeed / server.speed);
            }
            // The report says how the server was some time ago.
            server.reports.emplace_back(m_time.clock.now(), report);
            while (server.reports.size() > 1 && m_time.clock.now() - server.reports[1].first >= m_reportAge) {
                server.reports.pop_front();
            }
            placement.recordReport(m_instances[chosen].id, server.reports.front().second);
            placement.onRequestEnded(m_instances[chosen].id, "r", PlacementOutcome::Answered, held);
        });
        startCalls(server);
    }

    void startCalls(Server &server)
    {
        while (server.running < Slots && !server.queue.empty()) {
            const auto [arrival, respond] = std::move(server.queue.front());
            server.queue.pop_front();
            ++server.running;
            if (m_time.clock.now() >= TimePoint(24h) + Start) {
                m_waits.push_back(std::chrono::duration<double>(m_time.clock.now() - arrival).count());
            }
            const double seconds = WorkSeconds / server.speed;
            m_time.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
                         [this, &server, seconds, respond = respond] {
                             --server.running;
                             server.holdingSeconds += 0.03 * (seconds - server.holdingSeconds);
                             respond();
                             startCalls(server);
                         });
        }
    }

    const Choice m_choice;
    const Duration m_reportAge;
    SimulatedTime m_time;
    RandomEngine m_random{20261207};
    std::vector<Instance> m_instances;
    std::vector<Server> m_servers;
    std::vector<std::unique_ptr<Placement>> m_senders;
    std::vector<double> m_waits;
};

Result play(Choice choice, unsigned senders, Duration reportAge, double utilization)
{
    const Result result = LoadModel(choice, senders, 24, reportAge).run(utilization);
    std::printf("choice %u, %u senders, reports %lld ms old, load %.2f: busiest to fair %.3f, wait p50 %.1f ms, p99 %.1f ms\n",
                static_cast<unsigned>(choice), senders, static_cast<long long>(reportAge / 1ms), utilization, result.busiestToFair,
                1000.0 * result.waitP50, 1000.0 * result.waitP99);
    return result;
}

} // namespace

TEST_GROUP(EvenLoad){};

// Guards against servers that are overrun in turns while others idle, because many nodes choose by old reports at the same moment: callers
// wait longer than with the choice by load alone, and the busiest server gets more than its part.
TEST(EvenLoad, ServersGetWorkInProportionToWhatTheyFinish)
{
    for (const unsigned senders : {20U, 95U, 300U}) {
        for (const Duration age : {10ms, 200ms, 2000ms}) {
            const Result random = play(Choice::Random, senders, age, 0.75);
            const Result byLoad = play(Choice::ByLoad, senders, age, 0.75);
            const Result bySpeed = play(Choice::ByLoadAndSpeed, senders, age, 0.75);
            const std::string text = std::to_string(senders) + " senders, " + std::to_string(age / 1ms) + " ms";
            // Reports that are hardly old at few senders leave nothing to gain.
            CHECK_TEXT(bySpeed.busiestToFair < 1.05 * byLoad.busiestToFair, text.c_str());
            CHECK_TEXT(bySpeed.busiestToFair < random.busiestToFair, text.c_str());
            CHECK_TEXT(bySpeed.waitP99 < byLoad.waitP99, text.c_str());
        }
    }
}

// Guards against servers that are overrun in turns: over any second, no server gets more than 1.05 of its fair part.
TEST(EvenLoad, TheBusiestServerGetsHardlyMoreThanItsFairPart)
{
    const Result result = play(Choice::ByLoadAndSpeed, 300, 200ms, 0.75);

    CHECK_TEXT(result.busiestToFair <= 1.05, std::to_string(result.busiestToFair).c_str());
}
