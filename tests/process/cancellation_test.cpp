#include "loadclient.h"
#include "nodepair.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

// A hang guard only.
constexpr std::chrono::seconds HangGuard{60};

template <typename Condition>
bool eventually(Condition condition)
{
    const auto bound = std::chrono::steady_clock::now() + HangGuard;
    while (!condition() && std::chrono::steady_clock::now() < bound) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return condition();
}

} // namespace

TEST_GROUP(Cancellation){};

// Guards against backend servers that go on working for a caller that has hung up at another node.
TEST(Cancellation, travelsFromTheCallerToTheBackendServer)
{
    NodePair nodes({.longestDelay = std::chrono::hours(1)});
    {
        LoadClient client(nodes.edgePort, 1);
        std::thread load([&] { client.run(1, std::chrono::seconds(1)); });
        CHECK(eventually([&] { return nodes.server.received() == 1; }));
        load.join();
        CHECK_EQUAL(0U, nodes.server.cancelled());
    }

    CHECK(eventually([&] { return nodes.server.cancelled() == 1; }));
}
