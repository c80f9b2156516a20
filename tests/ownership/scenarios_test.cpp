#include "fleet.h"
#include "timing.h"

#include "core/base/hashing.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::test;

namespace {

Schedule quiet(int nodes, std::uint64_t seed = 1)
{
    Schedule schedule;
    schedule.nodes = nodes;
    schedule.seed = seed;
    return schedule;
}

void checkVerdict(Fleet &fleet)
{
    STRCMP_EQUAL("", fleet.judge().verdict().c_str());
}

// Node 0 runs the key and is lost, nodes 2 and 3 join, nodes 1 and 4 are lost, and the key is sent again. Nodes 1 and 4 outrank the
// joiners.
std::string allThatFencedAreLost(std::uint64_t seed, const OwnershipMechanisms &mechanisms)
{
    Schedule schedule = quiet(5, seed);
    schedule.retentionMs = 10'000;
    Fleet fleet(schedule, mechanisms);
    fleet.settle();
    const RequestKey key = fleet.keyRanking({0, 1, 4, 3, 2});
    fleet.apply({.kind = FaultKind::Kill, .node = 2});
    fleet.runFor(ms(3000));
    fleet.apply({.kind = FaultKind::Kill, .node = 3});
    fleet.runFor(ms(3000));
    fleet.clientSends(key, 1);
    fleet.runFor(ms(170));
    fleet.apply({.kind = FaultKind::Kill, .node = 0});
    fleet.runFor(ms(1000));
    fleet.restart(2);
    fleet.restart(3);
    fleet.runFor(ms(3000));
    fleet.apply({.kind = FaultKind::Kill, .node = 1});
    fleet.apply({.kind = FaultKind::Kill, .node = 4});
    for (int resend = 0; resend < 60; ++resend) {
        fleet.runFor(ms(50));
        fleet.clientSends(key, 3);
    }
    return fleet.judge().verdict();
}

// Node 0 has a nearly full table and is cut off, dropped from the list and fenced; another node runs the key, then node 0 is asked for it.
std::string fencedOwnerRefuses(const OwnershipMechanisms &mechanisms)
{
    Schedule schedule = quiet(4);
    schedule.maximumRecords = 10;
    Fleet fleet(schedule, mechanisms);
    fleet.settle();
    for (int filler = 0, number = 0; filler < 9; ++number) {
        const RequestKey key = fleet.keyOf(number);
        bool first = true;
        for (int other = 1; other < 4; ++other) {
            first = first && outranks(key, fleet.node(0).info().name, fleet.node(other).info().name);
        }
        if (first) {
            fleet.clientSends(key, 0);
            ++filler;
        }
    }
    fleet.runFor(ms(300));
    fleet.apply({.kind = FaultKind::Isolate, .node = 0, .duration = 2000});
    fleet.freezeList(0, ms(5000));
    fleet.dropFromList(0, ms(5000));
    fleet.runFor(ms(1000));
    const RequestKey key = fleet.keyRanking({0, 1, 2, 3});
    fleet.clientSends(key, 1);
    fleet.runFor(ms(300));
    LONGS_EQUAL(1, fleet.judge().runs(key));
    fleet.clientSends(key, 0);
    fleet.runFor(ms(300));
    return fleet.judge().verdict();
}

} // namespace

TEST_GROUP(Scenarios){};

// Guards against a key forgotten because its owner and all members that fenced it were lost within the retention time.
TEST(Scenarios, joinerLearnsKeysThatOthersInherited)
{
    OwnershipMechanisms without;
    without.inheritedRecordsToJoiner = false;
    int broken = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        STRCMP_EQUAL("", allThatFencedAreLost(seed, {}).c_str());
        broken += allThatFencedAreLost(seed, without).empty() ? 0 : 1;
    }
    CHECK_TRUE(broken > 0);
}

// Guards against an owner that does not know that it is fenced and refuses as `not-run` what its successor has run.
TEST(Scenarios, fencedOwnerNeverSaysNotRun)
{
    OwnershipMechanisms without;
    without.claimBeforeNotRun = false;
    STRCMP_EQUAL("", fencedOwnerRefuses({}).c_str());
    CHECK_FALSE(fencedOwnerRefuses(without).empty());
}

// Guards against waiting after the loss of a single host: its keys must be runnable once the list shows it.
TEST(Scenarios, singleHostLossNeedsNoWaiting)
{
    Fleet fleet(quiet(4), {});
    fleet.settle();
    fleet.apply({.kind = FaultKind::Kill, .node = 0});
    fleet.runFor(ms(ListLagMs));
    const RequestKey key = fleet.keyRanking({0, 1, 2, 3});
    fleet.clientSends(key, 2);
    fleet.runFor(ms(300));

    LONGS_EQUAL(1, fleet.judge().answers(key));
    checkVerdict(fleet);
}

// Guards against a rolling restart that refuses, delays or repeats a request.
TEST(Scenarios, rollingRestartMakesNothingWait)
{
    Fleet fleet(quiet(4), {});
    fleet.settle();
    int request = 0;
    for (int stopped = 0; stopped < 4; ++stopped) {
        fleet.after(ms(100), [&fleet, stopped] { fleet.node(stopped).stop(); });
        for (int step = 0; step < 200; ++step) {
            // A client's connection is at a node that is not leaving; a resend goes to any other node.
            int edge = (stopped + 1 + step % 3) % 4;
            while (!fleet.node(edge).up() || fleet.node(edge).leaving()) {
                edge = (edge + 1) % 4;
            }
            fleet.clientSends(fleet.keyOf(request++), edge);
            fleet.runFor(ms(10));
        }
    }
    fleet.runFor(ms(1000));
    checkVerdict(fleet);
    CHECK_TRUE(fleet.judge().slowestAnswer() < ms(500));
    for (int again = 0; again < 100; ++again) {
        fleet.clientSends(fleet.keyOf(request - 1 - again), again);
    }
    fleet.runFor(ms(500));
    checkVerdict(fleet);
}

// Guards against fencing a new incarnation on a list that is older than the one in which it saw itself: it would lose its keys although
// nothing failed. Without the comparison of versions 6 of these 12 seeds were red.
TEST(Scenarios, laggingListDoesNotFenceANewIncarnation)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Fleet fleet(quiet(4, seed), {});
        fleet.settle();
        const Incarnation started = fleet.nextIncarnation();
        LONGS_EQUAL(5, started);
        for (int index = 0; index < fleet.size(); ++index) {
            fleet.node(index).stop();
            // A leaving witness stays for at most 5 s.
            fleet.runFor(ms(6500));
        }
        // Each node was started once at first and once after its planned stop; an excluded one would have started again.
        LONGS_EQUAL(10, fleet.nextIncarnation());
        checkVerdict(fleet);
    }
}

namespace {

// Node 0 is dropped from the list for a while although it is alive, and is fenced. Returns the answers of a key that it ranks first for.
std::size_t answersAfterExclusion(bool rejoins)
{
    Schedule schedule = quiet(4);
    schedule.rejoins = rejoins;
    Fleet fleet(schedule, {});
    fleet.settle();
    const RequestKey before = fleet.keyRanking({0, 1, 2, 3});
    fleet.clientSends(before, 0);
    fleet.runFor(ms(300));
    LONGS_EQUAL(1, fleet.judge().answers(before));
    fleet.dropFromList(0, ms(1000));
    fleet.runFor(ms(2500));
    // The new incarnation must not run again what the excluded one ran.
    fleet.clientSends(before, 0);
    fleet.runFor(ms(RetentionMs));
    const RequestKey after = fleet.keyRanking({0, 3, 2, 1});
    fleet.clientSends(after, 0);
    fleet.runFor(ms(300));
    checkVerdict(fleet);
    return fleet.judge().answers(after);
}

} // namespace

// Guards against a node that stays without ownership until its process restarts once another member has fenced it.
TEST(Scenarios, excludedNodeJoinsAgainInTheSameProcess)
{
    LONGS_EQUAL(1, answersAfterExclusion(true));
    LONGS_EQUAL(0, answersAfterExclusion(false));
}

// Guards against an owner that waits for ever for the acknowledgement of an incarnation that was excluded before it had joined. Found by
// the random schedules.
TEST(Scenarios, excludedJoinerIsNotWaitedFor)
{
    Schedule schedule = quiet(3, 2305);
    schedule.claimBatchMs = 0;
    schedule.faults = {{FaultKind::WrongDrop, 374, 4, 20}, {FaultKind::Kill, 563, 0, 20}};
    schedule.requests = {{444, {{0, 0}}}, {551, {{12, 0}}}};
    Fleet fleet(schedule, {});
    fleet.settle();
    fleet.play();
    STRCMP_EQUAL("", fleet.keysWithoutAnswer().c_str());
    checkVerdict(fleet);
}

// Guards against a service that stays blocked because the only member that knew of an exclusion is lost while the excluded one joins again:
// the host list goes on to name the excluded incarnation. Found by the random schedules.
TEST(Scenarios, exclusionThatNobodyRemembersIsWaitedOut)
{
    for (const std::uint64_t seed : {0U, 91U, 212U}) {
        Schedule schedule = quiet(2, seed);
        schedule.claimBatchMs = 0;
        schedule.faults = {{FaultKind::WrongDrop, 0, 3, 25}, {FaultKind::Kill, 303, 0, 20}};
        schedule.requests = {{23, {{0, 0}}}};
        Fleet fleet(schedule, {});
        fleet.settle();
        fleet.play();
        STRCMP_EQUAL("", fleet.keysWithoutAnswer().c_str());
        checkVerdict(fleet);
    }
}

// Guards against a key that another side runs during a partition, and against a side that stops although owner and witness are on it.
TEST(Scenarios, partitionKeepsKeysWithTheirOwner)
{
    Fleet fleet(quiet(4), {});
    fleet.settle();
    fleet.apply({.kind = FaultKind::Isolate, .node = 0, .duration = 900});
    const RequestKey cutOff = fleet.keyRanking({0, 1, 2, 3});
    const RequestKey served = fleet.keyRanking({1, 0, 2, 3});
    fleet.clientSends(cutOff, 2);
    fleet.clientSends(served, 2);
    fleet.runFor(ms(1000));
    LONGS_EQUAL(0, fleet.judge().runs(cutOff));
    LONGS_EQUAL(1, fleet.judge().answers(served));
    fleet.runFor(ms(2500));
    fleet.clientSends(cutOff, 2);
    fleet.runFor(ms(300));
    LONGS_EQUAL(1, fleet.judge().answers(cutOff));
    checkVerdict(fleet);
}

// Guards against keys that stay blocked for ever when an owner and one of its witnesses are lost for good.
TEST(Scenarios, lastResortFreesKeysOfAnOwnerLostWithAWitness)
{
    for (int second = 1; second < 4; ++second) {
        Fleet fleet(quiet(4), {});
        fleet.settle();
        fleet.apply({.kind = FaultKind::Kill, .node = 0});
        fleet.apply({.kind = FaultKind::Kill, .node = second});
        fleet.runFor(ms(ListLagMs + IsolationMs + 3 * RetentionMs + 1000));
        const RequestKey key = fleet.keyRanking({0, second});
        fleet.clientSends(key, 1 + second % 3);
        fleet.runFor(ms(300));
        LONGS_EQUAL(1, fleet.judge().answers(key));
        checkVerdict(fleet);
    }
}

// Guards against holes that random schedules found, see docs/at-most-once.md.
TEST(Scenarios, keptSchedulesStayGreen)
{
    Schedule dropsInTurn = quiet(2, 0);
    dropsInTurn.faults = {{FaultKind::WrongDrop, 501, 0, 20}, {FaultKind::WrongDrop, 0, 1, 107}};
    dropsInTurn.requests = {{542, {{317, 1}}}};
    Schedule deathInColdStart = quiet(2, 1);
    deathInColdStart.faults = {{FaultKind::RestartAll, 0, 0, 20}, {FaultKind::Kill, 304, 0, 20}};
    deathInColdStart.requests = {{0, {{264, 0}}}};
    Schedule ownerLearntByProbe = quiet(2, 0);
    ownerLearntByProbe.faults = {{FaultKind::KillAndRestart, 0, 1, 20}, {FaultKind::Kill, 1301, 0, 20}, {FaultKind::Isolate, 0, 0, 334}};
    ownerLearntByProbe.requests = {{42, {{3, 0}}}};
    Schedule pausedBeforeRefusing = quiet(3, 184);
    pausedBeforeRefusing.late = 10;
    pausedBeforeRefusing.notRun = 208;
    pausedBeforeRefusing.faults = {{FaultKind::PauseBeforeSend, 3259, 0, 421}, {FaultKind::Replace, 1746, 4, 20}};
    pausedBeforeRefusing.requests = {{0, {{1001, 0}, {0, 1}, {129, 1}, {0, 0}}},
                                     {3245, {{0, 0}}},
                                     {3245, {{0, 0}}},
                                     {2841, {{305, 1}}},
                                     {1060, {{0, 0}}},
                                     {3145, {{556, 1}}},
                                     {3255, {{446, 0}}},
                                     {2320, {{0, 1}, {949, 0}, {0, 1}}},
                                     {16, {{985, 0}, {967, 0}}},
                                     {1445, {{90, 1}, {313, 0}, {313, 1}}},
                                     {1750, {{8, 0}, {20, 0}}},
                                     {1770, {{0, 1}}},
                                     {1188, {{499, 1}, {0, 0}, {3, 0}, {582, 0}}},
                                     {1770, {{5, 0}, {0, 0}}}};
    for (const Schedule &schedule : {dropsInTurn, deathInColdStart, ownerLearntByProbe, pausedBeforeRefusing}) {
        Fleet fleet(schedule, {});
        fleet.settle();
        fleet.play();
        STRCMP_EQUAL("", fleet.keysWithoutAnswer().c_str());
        checkVerdict(fleet);
    }
}
