#include "core/base/manualclock.h"
#include "core/crashguard/crashguard.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

constexpr RequestKey CrashingRequest{.high = 1, .low = 1};
constexpr RequestKey HarmlessRequest{.high = 2, .low = 2};

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

// Guards against a single broken connection that counts as a crash.
TEST(CrashGuard, ignoresASingleBrokenConnectionAmongSeveral)
{
    guard.tryStart(1, CrashingRequest);
    guard.tryStart(2, HarmlessRequest);
    guard.onConnectionBroken(1);
    guard.onCompleted(2);
    guard.onConnectionRefused();

    LONGS_EQUAL(0, guard.suspectCount());
}

// Guards against a crash that is not detected because only one call was in flight.
TEST(CrashGuard, suspectsASingleCallWhenTheNextConnectionIsRefused)
{
    guard.tryStart(1, CrashingRequest);
    guard.onConnectionBroken(1);
    LONGS_EQUAL(0, guard.suspectCount());
    guard.onConnectionRefused();

    LONGS_EQUAL(1, guard.suspectCount());
}

// Guards against a ban after one crash that counts twice because two nodes report it to each other.
TEST(CrashGuard, countsACrashThatIsReportedTwiceOnce)
{
    crash(guard, 1, CrashingRequest);
    const CrashSuspects reports = *guard.takeReports();
    peer.onReportsReceived(reports);
    peer.onReportsReceived(reports);
    guard.onReportsReceived(peer.allReports());

    CHECK_FALSE(peer.isBanned(CrashingRequest));
    CHECK_FALSE(guard.isBanned(CrashingRequest));
}

// Guards against a request that crashes one backend server after another because each node counts only its own crashes.
TEST(CrashGuard, refusesAfterCrashesOnTwoNodes)
{
    crash(guard, 1, CrashingRequest);
    peer.onReportsReceived(*guard.takeReports());
    CHECK_TRUE(peer.tryStart(1, CrashingRequest) == CrashGuardDecision::RunAlone);
    peer.onConnectionBroken(1);
    guard.onReportsReceived(*peer.takeReports());

    CHECK_TRUE(peer.tryStart(2, CrashingRequest) == CrashGuardDecision::Refuse);
    CHECK_TRUE(guard.tryStart(2, CrashingRequest) == CrashGuardDecision::Refuse);
}

// Guards against a harmless request that stays suspected after it completed, or that is banned for one crash before and one after it
// completed.
TEST(CrashGuard, clearsASuspectThatCompletes)
{
    crash(guard, 1, HarmlessRequest);
    const CrashSuspects crashReports = *guard.takeReports();
    peer.onReportsReceived(crashReports);
    CHECK_TRUE(peer.tryStart(1, HarmlessRequest) == CrashGuardDecision::RunAlone);
    peer.onCompleted(1);
    guard.onReportsReceived(*peer.takeReports());
    peer.onReportsReceived(crashReports);
    CHECK_TRUE(guard.tryStart(2, HarmlessRequest) == CrashGuardDecision::Run);
    CHECK_TRUE(peer.tryStart(2, HarmlessRequest) == CrashGuardDecision::Run);
    guard.onConnectionBroken(2);
    guard.onConnectionRefused();

    CHECK_FALSE(guard.isBanned(HarmlessRequest));
}

// Guards against a suspect that stays suspected for ever because it is never sent again.
TEST(CrashGuard, dropsASuspectAfterTenMinutes)
{
    crash(guard, 1, HarmlessRequest);
    clock.advance(std::chrono::minutes(10));
    guard.tick();

    LONGS_EQUAL(0, guard.suspectCount());
    CHECK_TRUE(guard.tryStart(2, HarmlessRequest) == CrashGuardDecision::Run);
}

// Guards against a table that grows without bound, and against a banned fingerprint that is dropped for a new suspect.
TEST(CrashGuard, keepsBannedFingerprintsWhenTheTableIsFull)
{
    CrashGuardOptions options = optionsFor("dozrijevanje-2");
    options.maximumSuspects = 3;
    CrashGuard bounded(options, clock);
    crash(bounded, 1, CrashingRequest);
    crash(bounded, 2, CrashingRequest);
    for (std::uint64_t number = 10; number < 20; ++number) {
        clock.advance(std::chrono::seconds(1));
        crash(bounded, number, {.high = 0, .low = number});
    }

    LONGS_EQUAL(3, bounded.suspectCount());
    CHECK_TRUE(bounded.isBanned(CrashingRequest));
}
