#include "loadclient.h"
#include "nodepair.h"

#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

// Hang guards only; the tests assert nothing on time.
constexpr std::chrono::seconds HangGuard{120};
constexpr std::uint64_t MoreThanEnough = 1000000;

// Waits until the client has finished this many requests.
void waitForProgress(const LoadClient &client, std::uint64_t requests)
{
    const auto bound = std::chrono::steady_clock::now() + HangGuard;
    while (client.finished() < requests && std::chrono::steady_clock::now() < bound) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

// Runs load against the edge node and stops one node in the middle of it.
LoadCounts stopUnderLoad(NodePair &nodes, NodeProcess &stopped, std::optional<int> &exitStatus)
{
    LoadClient client(nodes.edgePort, 50);
    LoadCounts counts;
    std::thread load([&] { counts = client.run(MoreThanEnough, HangGuard); });
    waitForProgress(client, 500);
    stopped.sendSignal(SIGTERM);
    exitStatus = stopped.waitForExit(HangGuard);
    client.stopSending();
    load.join();
    return counts;
}

} // namespace

TEST_GROUP(Drain){};

// Guards against a planned stop of the node that callers use which breaks off requests in flight.
TEST(Drain, ofTheEdgeNodeInterruptsNoRequest)
{
    NodePair nodes({.longestDelay = std::chrono::milliseconds(30)});
    std::optional<int> exitStatus;

    const LoadCounts counts = stopUnderLoad(nodes, *nodes.edge, exitStatus);

    CHECK(exitStatus == 0);
    CHECK(counts.matching >= 500);
    CHECK_EQUAL(0U, counts.broken);
    CHECK_EQUAL(0U, counts.mismatching);
    CHECK_EQUAL(0U, counts.otherErrors);
    CHECK_EQUAL(counts.matching, nodes.server.received());
}

// Guards against a planned stop of a serving node that breaks off calls in flight from other nodes.
TEST(Drain, ofTheServingNodeInterruptsNoRequest)
{
    NodePair nodes({.longestDelay = std::chrono::milliseconds(30)});
    std::optional<int> exitStatus;

    const LoadCounts counts = stopUnderLoad(nodes, *nodes.serving, exitStatus);

    CHECK(exitStatus == 0);
    CHECK(counts.matching >= 500);
    CHECK_EQUAL(0U, counts.broken);
    CHECK_EQUAL(0U, counts.mismatching);
    CHECK_EQUAL(0U, counts.otherErrors);
    CHECK_EQUAL(counts.matching, nodes.server.received());
}

// Guards against a planned stop that never ends because a call does not.
TEST(Drain, isBrokenOffByASecondSignal)
{
    NodePair nodes({.longestDelay = std::chrono::hours(1)});
    LoadClient client(nodes.servingPort, 1);
    std::thread load([&] { client.run(1, std::chrono::seconds(2)); });
    const auto bound = std::chrono::steady_clock::now() + HangGuard;
    while (nodes.server.received() == 0 && std::chrono::steady_clock::now() < bound) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    nodes.serving->sendSignal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    nodes.serving->sendSignal(SIGTERM);

    CHECK(nodes.serving->waitForExit(HangGuard) == 3);
    load.join();
}
