#include "core/base/manualclock.h"
#include "core/crashguard/crashguard.h"
#include "core/crashguard/suspectexchange.h"

#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

constexpr Duration ms(std::uint64_t count)
{
    return std::chrono::milliseconds(count);
}

// Simulation of one service whose backend servers crash when they run the fingerprint 0. Callers resend a request 50 to 300 ms after it
// failed.
class CrashFleet
{
public:
    CrashFleet(std::size_t servers, std::uint64_t seed, int lossPerMille, bool suspectsRunAlone)
        : m_random(seed), m_lossPerMille(lossPerMille)
    {
        for (std::size_t index = 0; index < servers; ++index) {
            CrashGuardOptions options;
            options.self = NodeId("inspekcija-" + std::to_string(index));
            options.incarnation = 1;
            options.suspectsRunAlone = suspectsRunAlone;
            auto guard = std::make_unique<CrashGuard>(options, m_clock);
            auto exchange = std::make_unique<SuspectExchange>(*guard, SuspectExchangeOptions{}, std::to_string(index), m_clock, index);
            m_servers.push_back({.guard = std::move(guard), .exchange = std::move(exchange), .running = {}});
            m_addresses.insert(std::to_string(index));
        }
    }

    void send(std::uint64_t fingerprint)
    {
        attempt(fingerprint, m_random() % m_servers.size(), ++m_lastCall);
    }

    void run(Duration time)
    {
        const TimePoint end = m_clock.now() + time;
        for (TimePoint next = m_clock.now(); next <= end; next += ms(100)) {
            schedule(next, [this] {
                for (std::size_t index = 0; index < m_servers.size(); ++index) {
                    m_servers[index].guard->tick();
                    sendReports(index);
                    askIfDue(index);
                }
            });
        }
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_clock.set(event.at);
            event.action();
        }
        m_clock.set(end);
    }

    int crashes = 0;
    std::optional<TimePoint> secondCrash;
    std::optional<TimePoint> lastCrashingStart;
    std::size_t mostSuspectsTogether = 0;
    std::map<std::uint64_t, int> completed;
    std::map<std::uint64_t, int> refused;

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };
    struct Server
    {
        std::unique_ptr<CrashGuard> guard;
        std::unique_ptr<SuspectExchange> exchange;
        std::map<CallId, std::uint64_t> running;
        bool up = true;
    };

    void schedule(TimePoint time, std::function<void()> action)
    {
        m_events.push({time, ++m_sequence, std::move(action)});
    }

    Duration randomDuration(std::uint64_t low, std::uint64_t high)
    {
        return ms(low + m_random() % (high - low));
    }

    void attempt(std::uint64_t fingerprint, std::size_t index, CallId call)
    {
        Server &server = m_servers[index];
        if (!server.up) {
            server.guard->onConnectionRefused();
            sendReports(index);
            resend(fingerprint);
            return;
        }
        switch (server.guard->tryStart(call, {.high = 7, .low = fingerprint})) {
        case CrashGuardDecision::Refuse:
            ++refused[fingerprint];
            return;
        case CrashGuardDecision::Wait:
            schedule(m_clock.now() + ms(5), [this, fingerprint, index, call] { attempt(fingerprint, index, call); });
            return;
        case CrashGuardDecision::Run:
        case CrashGuardDecision::RunAlone:
            break;
        }
        server.running[call] = fingerprint;
        if (fingerprint == 0) {
            lastCrashingStart = m_clock.now();
        }
        schedule(m_clock.now() + randomDuration(5, 60), [this, index, call] { finish(index, call); });
    }

    void finish(std::size_t index, CallId call)
    {
        Server &server = m_servers[index];
        const auto found = server.running.find(call);
        if (found == server.running.end()) {
            return;
        }
        const std::uint64_t fingerprint = found->second;
        if (fingerprint == 0) {
            crash(index);
            return;
        }
        server.running.erase(found);
        server.guard->onCompleted(call);
        ++completed[fingerprint];
        sendReports(index);
    }

    void crash(std::size_t index)
    {
        Server &server = m_servers[index];
        server.up = false;
        if (++crashes == 2) {
            secondCrash = m_clock.now();
        }
        for (const auto &[call, fingerprint] : std::exchange(server.running, {})) {
            server.guard->onConnectionBroken(call);
            resend(fingerprint);
        }
        server.guard->onConnectionRefused();
        sendReports(index);
        schedule(m_clock.now() + randomDuration(200, 500), [this, index] { m_servers[index].up = true; });
    }

    void resend(std::uint64_t fingerprint)
    {
        schedule(m_clock.now() + randomDuration(50, 300), [this, fingerprint] { send(fingerprint); });
    }

    void sendReports(std::size_t from)
    {
        const auto reports = m_servers[from].guard->takeReports();
        if (!reports) {
            return;
        }
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            if (index != from && static_cast<int>(m_random() % 1000) >= m_lossPerMille) {
                schedule(m_clock.now() + randomDuration(1, 20), [this, index, message = *reports] {
                    m_servers[index].guard->onReportsReceived(message);
                    sendReports(index);
                });
            }
        }
    }

    // Sends a message that may be lost.
    void deliver(std::function<void()> action)
    {
        if (static_cast<int>(m_random() % 1000) >= m_lossPerMille) {
            schedule(m_clock.now() + randomDuration(1, 20), std::move(action));
        }
    }

    void askIfDue(std::size_t from)
    {
        if (!m_servers[from].exchange->isQuestionDue()) {
            return;
        }
        const std::size_t to = std::stoul(m_servers[from].exchange->beginQuestion(m_addresses).value());
        deliver([this, from, to, question = m_servers[from].exchange->question()] {
            deliver([this, from, to, answer = m_servers[to].exchange->answer(question)] {
                if (const auto difference = m_servers[from].exchange->onAnswer(answer)) {
                    for (const CrashSuspects &reply : difference->replies) {
                        deliver([this, to, reply] { m_servers[to].guard->onReportsReceived(reply); });
                    }
                }
            });
        });
    }

    ManualClock m_clock;
    std::mt19937_64 m_random;
    int m_lossPerMille;
    std::set<std::string> m_addresses;
    std::vector<Server> m_servers;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    CallId m_lastCall = 0;
};

struct Outcome
{
    int crashes = 0;
    // Whether the crashing request was started more than a second after its second crash.
    bool startedLate = false;
    // Harmless requests that were refused or never completed, separated by spaces.
    std::string failedHarmlessRequests;
};

Outcome runSimulation(std::size_t servers, std::uint64_t seed, int lossPerMille, int copies, int harmlessRequests, bool suspectsRunAlone)
{
    CrashFleet fleet(servers, seed, lossPerMille, suspectsRunAlone);
    for (int copy = 0; copy < copies; ++copy) {
        fleet.send(0);
    }
    for (int harmlessRequest = 1; harmlessRequest <= harmlessRequests; ++harmlessRequest) {
        fleet.send(static_cast<std::uint64_t>(harmlessRequest));
    }
    fleet.run(std::chrono::seconds(8));
    Outcome outcome;
    outcome.crashes = fleet.crashes;
    outcome.startedLate = fleet.secondCrash && *fleet.lastCrashingStart > *fleet.secondCrash + std::chrono::seconds(1);
    for (int harmlessRequest = 1; harmlessRequest <= harmlessRequests; ++harmlessRequest) {
        const auto fingerprint = static_cast<std::uint64_t>(harmlessRequest);
        if (fleet.refused[fingerprint] > 0 || fleet.completed[fingerprint] == 0) {
            outcome.failedHarmlessRequests += std::to_string(harmlessRequest) + " ";
        }
    }
    return outcome;
}

} // namespace

TEST_GROUP(CrashGuardProperties){};

// Guards against a crashing request that is still started a second after its second crash, against more crashes than one for each copy of
// the request and one more, and against harmless requests that are refused or never complete.
TEST(CrashGuardProperties, boundsTheCrashesAndNeverRefusesHarmlessRequests)
{
    CHECK_TRUE(rc::check("one poisonous request", [] {
        const auto servers = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(2, 8));
        const auto copies = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(1, 5));
        const auto harmlessRequests = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 30));
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            const Outcome outcome = runSimulation(servers, seed + *rc::gen::arbitrary<std::uint16_t>(), 0, copies, harmlessRequests, true);
            RC_ASSERT(outcome.crashes <= copies + 1);
            RC_ASSERT(!outcome.startedLate);
            RC_ASSERT(outcome.failedHarmlessRequests.empty());
        }
    }));
}

// Guards against a late ban because reports are lost: they are repeated within a second.
TEST(CrashGuardProperties, refusesWithinASecondOnLossyLinks)
{
    CHECK_TRUE(rc::check("one poisonous request, 20% loss", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const Outcome outcome = runSimulation(4, seed, 200, 3, 10, true);
        RC_ASSERT(!outcome.startedLate);
    }));
}

// Shows that the check of harmless requests fails when several suspects may run on a backend server at the same time.
TEST(CrashGuardProperties, harmlessRequestsAreRefusedWhenSuspectsRunTogether)
{
    int wronglyRefused = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        wronglyRefused += runSimulation(2, seed, 0, 2, 20, false).failedHarmlessRequests.empty() ? 0 : 1;
    }
    CHECK_TRUE(wronglyRefused > 0);
}

// Shows that the checks of the bounds fail when no reports arrive and each node knows only its own crashes.
TEST(CrashGuardProperties, boundsAreExceededWithoutReports)
{
    int exceeded = 0;
    int late = 0;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        const Outcome outcome = runSimulation(6, seed, 1000, 1, 0, true);
        exceeded += outcome.crashes > 2 ? 1 : 0;
        late += outcome.startedLate ? 1 : 0;
    }
    CHECK_TRUE(exceeded > 0);
    CHECK_TRUE(late > 0);
}

// Measures the crashes caused by one request of which callers keep several copies in flight. The figures are in docs/crash-guard.md.
TEST(CrashGuardProperties, measuresTheCrashesPerRequest)
{
    for (int copies = 1; copies <= 4; ++copies) {
        int most = 0;
        int sum = 0;
        for (std::uint64_t seed = 0; seed < 1000; ++seed) {
            const int crashes = runSimulation(8, seed, 0, copies, 20, true).crashes;
            most = std::max(most, crashes);
            sum += crashes;
        }
        std::cout << copies << " copies: servers lost at most " << most << ", on average " << static_cast<double>(sum) / 1000 << "\n";
        CHECK_TRUE(most <= copies + 1);
    }
}
