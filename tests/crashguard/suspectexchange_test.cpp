#include "suspectfleet.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

// A node counts as in touch with the others from this time after its start or the end of a partition; then it must know what they know.
constexpr Duration ContactTime = 3s;
constexpr std::size_t ManyNodes = 300;
constexpr std::uint64_t Seeds = 20;
constexpr RequestKey CrashingRequest{.high = 1, .low = 1};
constexpr RequestKey HarmlessRequest{.high = 2, .low = 2};

RequestKey numbered(std::uint64_t number)
{
    return {.high = 3, .low = number};
}

} // namespace

TEST_GROUP(SuspectExchange)
{
    SuspectFleet fleet{12};

    // Lets two backend servers crash and waits until the reports have ended.
    static void banOn(SuspectFleet & nodes, const RequestKey &fingerprint)
    {
        nodes.crash(0, fingerprint);
        nodes.run(500ms);
        nodes.crash(1, fingerprint);
        nodes.run(2s);
    }
};

// Guards against a request that runs again on each node that was stopped and started, because bans are reported only around a crash.
TEST(SuspectExchange, ANodeThatWasRestartedKnowsTheBansOfTheOthers)
{
    banOn(fleet, CrashingRequest);

    for (std::size_t index = 0; index < 12; ++index) {
        fleet.restart(index);
        CHECK_FALSE(fleet.guard(index).isBanned(CrashingRequest));
        fleet.run(ContactTime);

        CHECK_TEXT(fleet.guard(index).isBanned(CrashingRequest), "the restarted node would run the request");
    }
}

// Guards against a request that needs two further crashes after each restart, because the first one is forgotten.
TEST(SuspectExchange, ANodeThatWasRestartedKnowsASingleCrash)
{
    fleet.crash(0, CrashingRequest);
    fleet.run(2s);
    fleet.restart(0);
    fleet.run(ContactTime);

    fleet.crash(0, CrashingRequest);

    CHECK_TRUE(fleet.guard(0).isBanned(CrashingRequest));
}

// Guards against a node that never learns what was reported while it was cut off, and against the others not learning what it saw.
TEST(SuspectExchange, NodesThatWereCutOffFromEachOtherKnowTheSameInTime)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        SuspectFleet nodes(ManyNodes, seed);
        nodes.linkWorks = [](std::size_t from, std::size_t to) {
            return (from < ManyNodes / 3) == (to < ManyNodes / 3);
        };
        banOn(nodes, CrashingRequest);
        nodes.crash(ManyNodes - 1, HarmlessRequest);
        nodes.run(500ms);
        nodes.crash(ManyNodes - 2, HarmlessRequest);
        nodes.run(10s);
        LONGS_EQUAL(ManyNodes / 3, nodes.banCount(CrashingRequest));

        nodes.linkWorks = [](std::size_t, std::size_t) {
            return true;
        };
        nodes.run(ContactTime);

        LONGS_EQUAL_TEXT(ManyNodes, nodes.banCount(CrashingRequest), ("seed " + std::to_string(seed)).c_str());
        LONGS_EQUAL_TEXT(ManyNodes, nodes.banCount(HarmlessRequest), ("seed " + std::to_string(seed)).c_str());
    }
}

// Guards against a single node that was cut off when two servers crashed beside others.
TEST(SuspectExchange, ASingleNodeThatWasCutOffLearnsTheBansInTime)
{
    fleet.linkWorks = [](std::size_t from, std::size_t to) {
        return from != 7 && to != 7;
    };
    banOn(fleet, CrashingRequest);
    fleet.run(20s);
    CHECK_FALSE(fleet.guard(7).isBanned(CrashingRequest));

    fleet.linkWorks = [](std::size_t, std::size_t) {
        return true;
    };
    fleet.run(ContactTime);

    CHECK_TRUE(fleet.guard(7).isBanned(CrashingRequest));
}

// Guards against crashes that are never known elsewhere because all repetitions of their report are lost.
TEST(SuspectExchange, CrashesAreKnownEverywhereWithoutTheirReports)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        SuspectFleet nodes(ManyNodes, seed);
        nodes.reportsArrive = false;
        nodes.run(2s);

        nodes.crash(5, CrashingRequest);
        nodes.run(ContactTime);
        nodes.crash(200, CrashingRequest);
        nodes.run(ContactTime);

        LONGS_EQUAL_TEXT(ManyNodes, nodes.banCount(CrashingRequest), ("seed " + std::to_string(seed)).c_str());
    }
}

// Guards against a harmless request that a restarted node bans, because it learns the crashes but not the completed call that cleared them.
TEST(SuspectExchange, ANodeThatWasRestartedKnowsWhatWasCleared)
{
    fleet.crash(0, HarmlessRequest);
    fleet.run(2s);
    fleet.guard(1).tryStart(1, HarmlessRequest);
    fleet.guard(1).onCompleted(1);
    fleet.run(2s);
    fleet.crash(2, HarmlessRequest);
    fleet.run(2s);
    fleet.restart(3);
    fleet.run(ContactTime);

    CHECK_FALSE(fleet.guard(3).isBanned(HarmlessRequest));
    CHECK(fleet.guard(3).digest() == fleet.guard(0).digest());
    // The crash after the completed call still counts.
    fleet.crash(3, HarmlessRequest);
    CHECK_TRUE(fleet.guard(3).isBanned(HarmlessRequest));
}

// Guards against a cost that grows with the number of nodes: each asks one other node a second, and sends no report when nothing differs.
TEST(SuspectExchange, CostsOneQuestionASecondAndNodeInCalm)
{
    SuspectFleet nodes(ManyNodes);
    banOn(nodes, CrashingRequest);
    nodes.run(5s);
    nodes.messages = 0;
    nodes.reports = 0;

    constexpr std::size_t Seconds = 20;
    nodes.run(std::chrono::seconds(Seconds));

    // A question and its answer, at intervals of at least 0.75 s.
    CHECK_TEXT(nodes.messages <= 2 * ManyNodes * (Seconds * 4 / 3 + 1), "more than one question a second and node");
    LONGS_EQUAL(0, nodes.reports);
}

// Guards against messages that grow with the number of suspects.
TEST(SuspectExchange, ManySuspectsAreLearnedInSeveralMessages)
{
    constexpr std::uint64_t Suspects = 1000;
    for (std::uint64_t number = 0; number < Suspects; ++number) {
        fleet.crash(0, numbered(number));
    }
    fleet.run(5s);
    fleet.restart(4);
    fleet.run(ContactTime);

    LONGS_EQUAL(Suspects, fleet.guard(4).suspectCount());
    CHECK(fleet.mostReportsInMessage <= fleet.options.reportsPerMessage);
}

// Guards against a node that stops to ask because its first questions went to nodes that do not run.
TEST(SuspectExchange, ANodeWhosePartnersAreLostAsksOthers)
{
    SuspectFleet nodes(ManyNodes);
    banOn(nodes, CrashingRequest);
    nodes.linkWorks = [](std::size_t from, std::size_t to) {
        return from % 5 == 0 && to % 5 == 0;
    };
    nodes.restart(10);
    nodes.run(15s);

    CHECK_TRUE(nodes.guard(10).isBanned(CrashingRequest));
}

// Guards against bytes without bound for a difference that does not end, here because one table is too small for all suspects.
TEST(SuspectExchange, ADifferenceThatDoesNotEndIsBounded)
{
    constexpr std::size_t Nodes = 12;
    constexpr std::size_t Suspects = 100;
    fleet.tableSizes[1] = Suspects / 2;
    fleet.restart(1);
    for (std::uint64_t number = 0; number < Suspects; ++number) {
        fleet.crash(0, numbered(number));
    }
    fleet.run(10s);
    fleet.reports = 0;
    fleet.reportsAsked.clear();

    fleet.run(60s);

    CHECK(fleet.guard(0).digest() != fleet.guard(1).digest());
    CHECK_TEXT(fleet.reports > 0, "the difference is not seen");
    // Each node pauses for each report of its exchanges, for three quarters of the time at least; one exchange may have begun before.
    const std::size_t perNode = 60s / fleet.options.pausePerReport * 4 / 3 + 2 * Suspects;
    CHECK_TEXT(fleet.reports <= Nodes * perNode, "the exchanges do not pause");
    CHECK_TEXT(fleet.reportsAsked[1] <= perNode, "the node with the small table does not pause");
}
