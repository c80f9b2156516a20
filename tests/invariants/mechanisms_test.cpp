#include "invariants/schedulecheck.h"
#include "invariants/simfleet.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::test;

namespace {

constexpr int MostSchedules = 2000;

} // namespace

// Each test shows that the check of one invariant fails when a mechanism that guards it is off.
TEST_GROUP(InvariantMechanisms){};

TEST(InvariantMechanisms, retriesMultiplyWithoutTheBudget)
{
    CHECK_TRUE(isViolated(
        1, 1, MostSchedules,
        [](NodeOptions &options) {
            options.retries.budgetEnabled = false;
            options.retries.ratioEnabled = false;
        },
        "was retried"));
}

// Guards against a bound that holds for a chain as a whole only, and so grows with its depth.
TEST(InvariantMechanisms, attemptsMultiplyAtADepthWithoutTheBudget)
{
    CHECK_TRUE(isViolated(
        1, 1, MostSchedules,
        [](NodeOptions &options) {
            options.retries.budgetEnabled = false;
            options.retries.ratioEnabled = false;
        },
        "attempts at store"));
}

// Guards against retries of a call that belongs to no request, whose budget nobody knows.
TEST(InvariantMechanisms, callsOfNoRequestAreRetriedWithoutTheBudget)
{
    CHECK_TRUE(isViolated(
        1, 2, MostSchedules,
        [](NodeOptions &options) {
            options.retries.budgetEnabled = false;
            options.retries.ratioEnabled = false;
        },
        "names no request"));
}

TEST(InvariantMechanisms, bookingsAreRefusedBeforeReadsWithoutPriority)
{
    CHECK_TRUE(isViolated(
        2, 2, MostSchedules, [](NodeOptions &options) { options.admission.priorityEnabled = false; }, "while its level admits reads"));
}

// Guards against an owner that refuses a booking while it admits reads: without the closure it does not wait until they are closed.
TEST(InvariantMechanisms, ownersRefuseBookingsBesideTheirReadsWithoutTheClosure)
{
    CHECK_TRUE(isViolated(
        2, 9, MostSchedules, [](NodeOptions &options) { options.admission.closure.enabled = false; }, "beside a read that it admitted"));
}

// Guards against an owner that refuses a booking while other instances of the service admit reads.
TEST(InvariantMechanisms, ownersRefuseBookingsBesideReadsElsewhereWithoutTheClosure)
{
    CHECK_TRUE(isViolated(
        2, 10, MostSchedules, [](NodeOptions &options) { options.admission.closure.enabled = false; }, "beside a read that books-"));
}

// Guards against an edge that refuses bookings on a report while instances still admit the reads of other edges.
TEST(InvariantMechanisms, edgesRefuseBookingsBesideReadsWithoutTheClosure)
{
    CHECK_TRUE(isViolated(
        2, 11, MostSchedules,
        [](NodeOptions &options) {
            options.admission.closure.enabled = false;
            options.edge.closure.enabled = false;
        },
        "as edge refuses"));
}

// Guards against reads that arrive after a booking was refused and are admitted beside it.
TEST(InvariantMechanisms, readsAreAdmittedAfterARefusedBookingWithoutPriority)
{
    CHECK_TRUE(isViolated(
        2, 12, MostSchedules, [](NodeOptions &options) { options.admission.priorityEnabled = false; }, "admits a read after"));
}

TEST(InvariantMechanisms, answersAreNotWholeWhenThoseOfEarlierAttemptsCount)
{
    CHECK_TRUE(isViolated(3, 3, MostSchedules, [](NodeOptions &options) { options.mechanisms.matchAnswers = false; }));
}

TEST(InvariantMechanisms, refusalsAsNotRunAreUntrueWithoutTheSettleTime)
{
    CHECK_TRUE(isViolated(4, 4, MostSchedules, [](NodeOptions &options) {
        options.ownership.mechanisms.settleTime = false;
        options.ownership.mechanisms.copyCheck = false;
    }));
}

// The record of a running booking is lost with its owner; claims at witnesses and the waits of a joining owner both stand in for it, so
// that the schedules rarely need more than one of them. Each has a check of its own in tests/ownership.
TEST(InvariantMechanisms, bookingsRunTwiceWithoutClaimsAndWaits)
{
    CHECK_TRUE(isViolated(5, 5, MostSchedules, [](NodeOptions &options) {
        options.ownership.mechanisms.claimAtWitness = false;
        options.ownership.mechanisms.joinAcknowledgement = false;
        options.ownership.mechanisms.coldStartWait = false;
    }));
}

TEST(InvariantMechanisms, leavingServersGetWorkWhenNobodyAvoidsThem)
{
    CHECK_TRUE(isViolated(6, 6, MostSchedules, [](NodeOptions &options) { options.mechanisms.avoidLeaving = false; }));
}

TEST(InvariantMechanisms, plannedStopsCutRequestsWhenTheyDoNotWait)
{
    CHECK_TRUE(isViolated(7, 7, MostSchedules, [](NodeOptions &options) { options.mechanisms.drainWaitsForCalls = false; }));
}

TEST(InvariantMechanisms, versionsGoBackWithoutTheirOrder)
{
    CHECK_TRUE(isViolated(8, 8, MostSchedules, [](NodeOptions &options) { options.distribution.mechanisms.versionOrder = false; }));
}

// Guards against a fleet that stays divided when a restored configuration service gives a second content to a version.
TEST(InvariantMechanisms, hostsKeepDifferentContentsOfAVersionWithoutTheResolutionOfConflicts)
{
    SimFleet fleet({.seed = 1, .conflict = true}, [](NodeOptions &options) { options.distribution.mechanisms.resolveConflicts = false; });

    fleet.play();

    STRCMP_CONTAINS("has another content of version 2 in force", fleet.verdict().c_str());
}

// Guards against a check that passes over hosts which were disturbed after the change.
TEST(InvariantMechanisms, recoveredHostsKeepAnOldVersionWithoutAntiEntropy)
{
    CHECK_TRUE(isViolated(
        8, 9, MostSchedules, [](NodeOptions &options) { options.distribution.mechanisms.antiEntropy = false; }, "after its recovery"));
}
