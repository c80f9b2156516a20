#include "quotafleet.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t FirstSeed = 20261207;
constexpr unsigned Schedules = 1000;

// Lets callers of the workspaces send for some time, each workspace at its rate, at any running node.
void sendRequests(QuotaFleet &fleet, const std::vector<std::pair<std::string, double>> &requestsPerSecond, Duration duration)
{
    constexpr Duration Step = 10ms;
    const TimePoint end = fleet.time.clock.now() + duration;
    while (fleet.time.clock.now() < end) {
        for (const auto &[workspace, rate] : requestsPerSecond) {
            double expected = rate * 0.01;
            for (; expected >= 1.0 || fleet.random(1000) < static_cast<unsigned>(expected * 1000.0); expected -= 1.0) {
                fleet.request(fleet.random(fleet.nodeCount()), workspace);
                if (expected < 1.0) {
                    break;
                }
            }
        }
        fleet.time.runFor(Step);
    }
}

Workspace workspace(const char *name, double rate, double burst)
{
    return {.name = name, .ratePerSecond = rate, .burst = burst};
}

} // namespace

TEST_GROUP(Quota)
{
    // Two large and 18 small workspaces that use two thirds of their quota.
    std::vector<Workspace> workspaces;
    std::vector<std::pair<std::string, double>> load;

    void setup() override
    {
        for (unsigned number = 0; number < 20; ++number) {
            const double rate = number < 2 ? 300.0 : 6.0 + number;
            workspaces.push_back(workspace(("w" + std::to_string(number)).c_str(), rate, rate));
            load.emplace_back(workspaces.back().name, 0.66 * rate);
        }
    }
};

// Guards against a workspace that gets more than its quota because nodes restart, pause, are cut off, disagree about the lender, or learn a
// lower limit late.
TEST(Quota, TheBoundHoldsInEveryWindowUnderRandomFaults)
{
    for (unsigned schedule = 0; schedule < Schedules; ++schedule) {
        const std::vector<Workspace> before{workspace("small", 10, 10), workspace("large", 100, 100)};
        QuotaFleet fleet({.seed = FirstSeed + schedule}, before);
        // Both workspaces send many times their quota.
        const std::vector<std::pair<std::string, double>> hotLoad{{"small", 75}, {"large", 400}};
        const unsigned publishedAt = fleet.random(12);
        TimePoint lowerLimitBinds = TimePoint::max();
        std::vector<Workspace> after = before;
        for (unsigned step = 0; step < 12; ++step) {
            const unsigned victim
                = fleet.random(2) == 0 ? fleet.lenderOf(fleet.random(2) == 0 ? "small" : "large") : fleet.random(fleet.nodeCount());
            switch (fleet.random(5)) {
            case 0:
                fleet.killNode(victim);
                break;
            case 1:
                fleet.pauseNode(victim, std::chrono::milliseconds(fleet.random(6000)));
                break;
            case 2: {
                std::set<unsigned> cut;
                for (unsigned number = 0; number < fleet.nodeCount(); ++number) {
                    if (fleet.random(3) == 0) {
                        cut.insert(number);
                    }
                }
                fleet.cutOff(cut);
                break;
            }
            case 3:
                fleet.cutOff({});
                break;
            default:
                for (unsigned number = 0; number < fleet.nodeCount(); ++number) {
                    fleet.startNode(number);
                }
            }
            if (step == publishedAt) {
                after = {workspace("small", 5, 5), workspace("large", 50, 20)};
                fleet.publish(after);
                lowerLimitBinds = fleet.time.clock.now() + 2500ms + 5s;
            }
            sendRequests(fleet, hotLoad, std::chrono::milliseconds(200 + fleet.random(1500)));
            if (fleet.random(2) == 0 && !fleet.isRunning(victim)) {
                fleet.startNode(victim);
                fleet.list(victim);
            }
        }
        for (std::size_t index = 0; index < before.size(); ++index) {
            const std::string text = "schedule " + std::to_string(schedule) + ", " + before[index].name;
            const std::size_t most = fleet.mostInWindow(before[index].name, TimePoint{}, lowerLimitBinds);
            CHECK_TEXT(most <= fleet.boundOf(before[index]), (text + ": " + std::to_string(most)).c_str());
            const std::size_t mostAfter = fleet.mostInWindow(before[index].name, lowerLimitBinds, TimePoint::max());
            CHECK_TEXT(mostAfter <= fleet.boundOf(after[index]), (text + " after the change: " + std::to_string(mostAfter)).c_str());
        }
    }
}

TEST(Quota, AWorkspaceInsideItsQuotaIsNotRefusedInCalm)
{
    QuotaFleet fleet({.nodes = 85, .seed = FirstSeed}, workspaces);
    fleet.time.runFor(10s);

    sendRequests(fleet, load, 20s);

    LONGS_EQUAL(0, fleet.refused);
}

// Guards against workspaces inside their quota that are refused while a node is lost and still listed: fewer than 1 in 500.
TEST(Quota, AWorkspaceInsideItsQuotaIsServedWhileANodeIsLost)
{
    QuotaFleet fleet({.nodes = 85, .seed = FirstSeed}, workspaces);
    fleet.time.runFor(10s);

    const unsigned requestsBefore = fleet.requests;
    for (unsigned lost = 0; lost < fleet.nodeCount(); ++lost) {
        fleet.killNode(lost);
        sendRequests(fleet, load, 4500ms);
        fleet.startNode(lost);
        fleet.list(lost);
        fleet.time.runFor(1s);
    }
    CHECK_TEXT(500 * fleet.refused < fleet.requests - requestsBefore, std::to_string(fleet.refused).c_str());
}

// Guards against a workspace that sends many times its usual and gets through: it is held to its quota within a second.
TEST(Quota, AWorkspaceBeyondItsQuotaGetsItsQuotaAndNotMuchLess)
{
    const Workspace hot = workspace("hot", 20, 20);
    QuotaFleet fleet({.nodes = 85, .seed = FirstSeed}, {hot});
    fleet.time.runFor(10s);

    sendRequests(fleet, {{"hot", 150}}, 20s);

    const std::size_t admitted = fleet.admitted["hot"].size();
    CHECK_TEXT(admitted >= 20 * 20 * 0.9 && admitted <= 20 * 20 + 20, std::to_string(admitted).c_str());
}
