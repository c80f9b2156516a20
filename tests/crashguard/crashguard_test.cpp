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
    CHECK_TRUE(peer.awaitsConfirmation());
    peer.onConnectionRefused();
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

// Guards against a ban after connections that were reset together beside a backend server that still accepts new ones.
TEST(CrashGuard, ignoresConnectionsThatBreakTogetherWhenANewOneIsAccepted)
{
    for (CallId call = 1; call <= 6; call += 2) {
        guard.tryStart(call, HarmlessRequest);
        guard.tryStart(call + 1, HarmlessRequest);
        guard.onConnectionBroken(call);
        guard.onConnectionBroken(call + 1);
        CHECK_TRUE(guard.awaitsConfirmation());
        guard.onConnectionAccepted();
        CHECK_FALSE(guard.awaitsConfirmation());
    }

    LONGS_EQUAL(0, guard.suspectCount());
}

// Guards against a crash that goes unnoticed although all connections broke and a new one is refused.
TEST(CrashGuard, suspectsAllCallsThatBrokeTogetherWhenANewConnectionIsRefused)
{
    guard.tryStart(1, HarmlessRequest);
    guard.tryStart(2, CrashingRequest);
    guard.onConnectionBroken(1);
    CHECK_FALSE(guard.awaitsConfirmation());
    guard.onConnectionBroken(2);
    guard.onConnectionRefused();

    LONGS_EQUAL(2, guard.suspectCount());
}

// Guards against a harmless request that is refused for an hour because it was in flight when two backend servers crashed.
TEST(CrashGuard, servesABannedRequestAgainAfterATrialThatCompletes)
{
    crash(guard, 1, HarmlessRequest);
    crash(guard, 2, HarmlessRequest);
    peer.onReportsReceived(*guard.takeReports());
    CHECK_TRUE(peer.isBanned(HarmlessRequest));
    CHECK_TRUE(guard.tryStart(3, HarmlessRequest, true) == CrashGuardDecision::Refuse);

    clock.advance(std::chrono::seconds(10));
    CHECK_TRUE(guard.tryStart(4, HarmlessRequest) == CrashGuardDecision::Refuse);
    CHECK_TRUE(guard.tryStart(5, HarmlessRequest, true) == CrashGuardDecision::RunAlone);
    CHECK_TRUE(guard.tryStart(6, HarmlessRequest, true) == CrashGuardDecision::Refuse);
    guard.onCompleted(5);
    peer.onReportsReceived(*guard.takeReports());

    CHECK_FALSE(guard.isBanned(HarmlessRequest));
    CHECK_FALSE(peer.isBanned(HarmlessRequest));
}

// Guards against trials that crash backend servers at a constant rate.
TEST(CrashGuard, triesACrashingRequestAtGrowingIntervals)
{
    crash(guard, 1, CrashingRequest);
    crash(guard, 2, CrashingRequest);
    unsigned trials = 0;
    for (CallId call = 3; call < 3 + 600; ++call) {
        clock.advance(std::chrono::seconds(1));
        if (guard.tryStart(call, CrashingRequest, true) == CrashGuardDecision::RunAlone) {
            ++trials;
            guard.onConnectionBroken(call);
            guard.onConnectionRefused();
        }
    }

    // 10, 50 and 210 s after the second crash; the next one is due after 850 s.
    LONGS_EQUAL(3, trials);
}
