#include "loadclient.h"
#include "nodepair.h"

#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

// A hang guard only; the tests assert nothing on time.
constexpr std::chrono::seconds HangGuard{300};

} // namespace

TEST_GROUP(Answers){};

// Guards against answers that reach the wrong caller when they arrive out of order.
TEST(Answers, belongToTheirRequestsOverTwoNodes)
{
    constexpr std::uint64_t Requests = 10000;
    NodePair nodes({.longestDelay = std::chrono::milliseconds(20)});
    LoadClient client(nodes.edgePort, 100);

    const LoadCounts counts = client.run(Requests, HangGuard);

    CHECK_EQUAL(Requests, counts.matching);
    CHECK_EQUAL(0U, counts.mismatching);
    CHECK_EQUAL(Requests, nodes.server.received());
}
