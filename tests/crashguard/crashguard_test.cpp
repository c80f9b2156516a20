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
    guard.tryStart(call, fingerprint);
    guard.onConnectionBroken(call);
    guard.onConnectionRefused();
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
    guard.tryStart(1, Poison);
    guard.tryStart(2, Innocent);
    guard.onConnectionBroken(1);
    guard.onCompleted(2);
    guard.onConnectionRefused();

    LONGS_EQUAL(0, guard.suspectCount());
}

// Guards against a crash that goes unnoticed because a single call was in flight.
TEST(CrashGuard, suspectsASingleCallWhenTheNextConnectionIsRefused)
{
    guard.tryStart(1, Poison);
    guard.onConnectionBroken(1);
    LONGS_EQUAL(0, guard.suspectCount());
    guard.onConnectionRefused();

    LONGS_EQUAL(1, guard.suspectCount());
}

// Guards against a refusal after one crash that two nodes report to each other.
TEST(CrashGuard, countsACrashThatIsReportedTwiceOnce)
{
    crash(guard, 1, Poison);
    const CrashSuspects reports = *guard.takeReports();
    peer.onReportsReceived(reports);
    peer.onReportsReceived(reports);
    guard.onReportsReceived(peer.allReports());

    CHECK_FALSE(peer.isBanned(Poison));
    CHECK_FALSE(guard.isBanned(Poison));
}

// Guards against a request that goes on crashing servers, here one on each of two nodes.
TEST(CrashGuard, refusesAfterCrashesOnTwoNodes)
{
    crash(guard, 1, Poison);
    peer.onReportsReceived(*guard.takeReports());
    CHECK_TRUE(peer.tryStart(1, Poison) == CrashGuardDecision::RunAlone);
    peer.onConnectionBroken(1);
    guard.onReportsReceived(*peer.takeReports());

    CHECK_TRUE(peer.tryStart(2, Poison) == CrashGuardDecision::Refuse);
    CHECK_TRUE(guard.tryStart(2, Poison) == CrashGuardDecision::Refuse);
}

// Guards against an innocent request that stays suspected, or is refused after crashes before and after a completed run.
TEST(CrashGuard, clearsASuspectThatCompletes)
{
    crash(guard, 1, Innocent);
    const CrashSuspects early = *guard.takeReports();
    peer.onReportsReceived(early);
    CHECK_TRUE(peer.tryStart(1, Innocent) == CrashGuardDecision::RunAlone);
    peer.onCompleted(1);
    guard.onReportsReceived(*peer.takeReports());
    peer.onReportsReceived(early);
    CHECK_TRUE(guard.tryStart(2, Innocent) == CrashGuardDecision::Run);
    CHECK_TRUE(peer.tryStart(2, Innocent) == CrashGuardDecision::Run);
    guard.onConnectionBroken(2);
    guard.onConnectionRefused();

    CHECK_FALSE(guard.isBanned(Innocent));
}

// Guards against a suspect that is treated as one for ever because it is never sent again.
TEST(CrashGuard, forgetsASuspectAfterTenMinutes)
{
    crash(guard, 1, Innocent);
    clock.advance(std::chrono::minutes(10));
    guard.tick();

    LONGS_EQUAL(0, guard.suspectCount());
    CHECK_TRUE(guard.tryStart(2, Innocent) == CrashGuardDecision::Run);
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
    CHECK_TRUE(bounded.isBanned(Poison));
}
