#include "fleet.h"
#include "timing.h"

#include <functional>
#include <iostream>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::test;

namespace {

constexpr int Seconds = 10;
constexpr int CallsPerSecond = 100;

struct Measured
{
    int calls = 0;
    int lost = 0;
    double messagesPerCall = 0;
};

// Sends a booking every 10 ms to the live nodes in turn, each once, and counts those that get no answer.
Measured measure(const std::function<void(Fleet &)> &faults)
{
    Schedule schedule;
    Fleet fleet(schedule, {});
    fleet.settle();
    const std::uint64_t messagesBefore = fleet.controlMessages();
    faults(fleet);
    Measured result;
    for (int second = 0; second < Seconds; ++second) {
        for (int step = 0; step < CallsPerSecond; ++step) {
            int edge = step % fleet.size();
            while (!fleet.node(edge).up() || fleet.node(edge).leaving()) {
                edge = (edge + 1) % fleet.size();
            }
            fleet.clientSends(fleet.keyOf(result.calls++), edge);
            fleet.runFor(ms(1000 / CallsPerSecond));
        }
    }
    result.messagesPerCall = static_cast<double>(fleet.controlMessages() - messagesBefore) / result.calls;
    fleet.runFor(ms(CallerWaitMs));
    for (int call = 0; call < result.calls; ++call) {
        result.lost += fleet.judge().answers(fleet.keyOf(call)) == 0 ? 1 : 0;
    }
    STRCMP_EQUAL("", fleet.judge().verdict().c_str());
    return result;
}

void print(const char *what, const Measured &measured)
{
    std::cout << what << ": " << measured.lost << " of " << measured.calls << " bookings without answer, " << measured.messagesPerCall
              << " control messages per booking\n";
}

} // namespace

// Measures the figures of docs/at-most-once.md in virtual time, with 4 nodes and 100 bookings a second, each sent once.
TEST_GROUP(Goodput){};

TEST(Goodput, quietFleetLosesNothing)
{
    const Measured measured = measure([](Fleet &) {});
    print("quiet", measured);
    LONGS_EQUAL(0, measured.lost);
    CHECK_TRUE(measured.messagesPerCall < 2.5);
}

TEST(Goodput, rollingRestartLosesNothing)
{
    const Measured measured = measure([](Fleet &fleet) {
        for (int index = 0; index < fleet.size(); ++index) {
            fleet.after(ms(500 + 2400 * index), [&fleet, index] { fleet.node(index).stop(); });
        }
    });
    print("rolling restart", measured);
    LONGS_EQUAL(0, measured.lost);
}

// Only the keys of the lost host may be lost, and only until the list shows the loss and the witnesses have answered.
TEST(Goodput, hostFailureLosesAtMostItsKeysUntilTheListShowsIt)
{
    const Measured measured
        = measure([](Fleet &fleet) { fleet.after(ms(2000), [&fleet] { fleet.apply({.kind = FaultKind::Kill, .node = 1}); }); });
    print("host failure", measured);
    CHECK_TRUE(measured.lost <= CallsPerSecond / 2);
}

// With two nodes on each side, the keys whose owner is on the other side are lost, about half, and the rest is served.
TEST(Goodput, partitionLosesOnlyKeysOfTheOtherSide)
{
    const Measured measured = measure([](Fleet &fleet) {
        fleet.after(ms(2000), [&fleet] {
            for (const auto &[left, right] : {std::pair(0, 2), std::pair(0, 3), std::pair(1, 2), std::pair(1, 3)}) {
                fleet.cut(left, right, ms(3000));
                fleet.cut(right, left, ms(3000));
            }
        });
    });
    print("partition of 3 s", measured);
    CHECK_TRUE(measured.lost <= 3 * CallsPerSecond * 2 / 3);
}
