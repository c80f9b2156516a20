#include "core/base/manualclock.h"
#include "core/crashguard/crashguard.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

constexpr RequestKey Poison{.high = 1, .low = 1};
constexpr RequestKey Innocent{.high = 2, .low = 2};

CrashGuardOptions optionsFor(const char *name)
{
    CrashGuardOptions options;
    options.self = NodeId(name);
    options.incarnation = 1;
    return options;
}

void crash(CrashGuard &guard, CallId call, const RequestKey &fingerprint)
{
    guard.start(call, fingerprint);
    guard.connectionBroken(call);
    guard.connectionRefused();
}

} // namespace

TEST_GROUP(CrashGuard)
{
    ManualClock clock;
    CrashGuard guard{optionsFor("dozrijevanje-0"), clock};
    CrashGuard peer{optionsFor("dozrijevanje-1"), clock};
};

// Guards against single broken connections that are taken for a crash.
TEST(CrashGuard, ignoresOneBrokenConnectionAmongSeveral)
{
    guard.start(1, Poison);
    guard.start(2, Innocent);
    guard.connectionBroken(1);
    guard.completed(2);
    guard.connectionRefused();

    LONGS_EQUAL(0, guard.suspectCount());
}

// Guards against a crash that goes unnoticed because a single call was in flight.
TEST(CrashGuard, suspectsASingleCallWhenTheNextConnectionIsRefused)
{
    guard.start(1, Poison);
    guard.connectionBroken(1);
    LONGS_EQUAL(0, guard.suspectCount());
    guard.connectionRefused();

    LONGS_EQUAL(1, guard.suspectCount());
}

// Guards against a refusal after one crash that two nodes report to each other.
TEST(CrashGuard, countsACrashThatIsReportedTwiceOnce)
{
    crash(guard, 1, Poison);
    const CrashSuspects reports = *guard.takeReports();
    peer.receive(reports);
    peer.receive(reports);
    guard.receive(peer.allReports());

    CHECK_FALSE(peer.banned(Poison));
    CHECK_FALSE(guard.banned(Poison));
}

// Guards against a request that goes on crashing servers, here one on each of two nodes.
TEST(CrashGuard, refusesAfterCrashesOnTwoNodes)
{
    crash(guard, 1, Poison);
    peer.receive(*guard.takeReports());
    CHECK_TRUE(peer.start(1, Poison) == CrashVerdict::RunAlone);
    peer.connectionBroken(1);
    guard.receive(*peer.takeReports());

    CHECK_TRUE(peer.start(2, Poison) == CrashVerdict::Refuse);
    CHECK_TRUE(guard.start(2, Poison) == CrashVerdict::Refuse);
}

// Guards against an innocent request that stays suspected, or is refused after crashes before and after a completed run.
TEST(CrashGuard, clearsASuspectThatCompletes)
{
    crash(guard, 1, Innocent);
    const CrashSuspects early = *guard.takeReports();
    peer.receive(early);
    CHECK_TRUE(peer.start(1, Innocent) == CrashVerdict::RunAlone);
    peer.completed(1);
    guard.receive(*peer.takeReports());
    peer.receive(early);
    CHECK_TRUE(guard.start(2, Innocent) == CrashVerdict::Run);
    CHECK_TRUE(peer.start(2, Innocent) == CrashVerdict::Run);
    guard.connectionBroken(2);
    guard.connectionRefused();

    CHECK_FALSE(guard.banned(Innocent));
}

// Guards against a suspect that is treated as one for ever because it is never sent again.
TEST(CrashGuard, forgetsASuspectAfterTenMinutes)
{
    crash(guard, 1, Innocent);
    clock.advance(std::chrono::minutes(10));
    guard.tick();

    LONGS_EQUAL(0, guard.suspectCount());
    CHECK_TRUE(guard.start(2, Innocent) == CrashVerdict::Run);
}

// Guards against memory that grows with the number of suspects, and against dropping a banned one for a new suspect.
TEST(CrashGuard, keepsBannedFingerprintsAtTheBound)
{
    CrashGuardOptions options = optionsFor("dozrijevanje-2");
    options.maximumSuspects = 3;
    CrashGuard bounded(options, clock);
    crash(bounded, 1, Poison);
    crash(bounded, 2, Poison);
    for (std::uint64_t number = 10; number < 20; ++number) {
        clock.advance(std::chrono::seconds(1));
        crash(bounded, number, {.high = 0, .low = number});
    }

    LONGS_EQUAL(3, bounded.suspectCount());
    CHECK_TRUE(bounded.banned(Poison));
}
