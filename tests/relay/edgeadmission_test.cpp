#include "core/base/manualclock.h"
#include "core/relay/edgeadmission.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

TEST_GROUP(EdgeAdmission)
{
    ManualClock clock;
    EdgeAdmission admission{EdgeAdmissionOptions{}, clock};
    // Share of failed answers at which reads are shed by the whole pressure.
    static constexpr double FullWeight = 0.12;
    std::uint64_t lastIdentity = 0;

    // Share of fresh requests that are admitted.
    double admitted(unsigned priority, double pressure, double failureShare = 0.0)
    {
        constexpr int Requests = 1000;
        int count = 0;
        for (int i = 0; i < Requests; ++i) {
            count += admission.admit("route" + std::to_string(priority), priority, pressure, failureShare, ++lastIdentity) ? 1 : 0;
        }
        return static_cast<double>(count) / Requests;
    }
};

TEST(EdgeAdmission, AllAreAdmittedWithoutPressure)
{
    DOUBLES_EQUAL(1.0, admitted(2, 0.0), 0.0);
}

TEST(EdgeAdmission, ReadsAreShedInProportionToThePressureAndBookingsAreNot)
{
    DOUBLES_EQUAL(0.5, admitted(2, 0.425, FullWeight), 0.01);
    DOUBLES_EQUAL(1.0, admitted(0, 0.85, FullWeight), 0.0);
}

TEST(EdgeAdmission, BookingsAreShedOnlyWhenReadsAreShedAsFarAsPossible)
{
    DOUBLES_EQUAL(0.05, admitted(2, 0.9, FullWeight), 0.01);
    CHECK(admitted(0, 0.9, FullWeight) > 0.6);
}

TEST(EdgeAdmission, WaitingWithoutFailuresShedsFewReads)
{
    DOUBLES_EQUAL(0.8, admitted(2, 0.425, 0.0), 0.01);
    DOUBLES_EQUAL(0.25, admitted(2, 0.425, 0.22), 0.01);
}

TEST(EdgeAdmission, FailuresWithoutLoadShedNothing)
{
    DOUBLES_EQUAL(1.0, admitted(2, 0.0, 0.9), 0.0);
}

TEST(EdgeAdmission, ReadsAreNeverAdmittedMoreThanBookings)
{
    for (int tenths = 0; tenths <= 10; ++tenths) {
        for (int quarters = 0; quarters <= 4; ++quarters) {
            CHECK(admitted(2, tenths / 10.0, quarters / 4.0) <= admitted(0, tenths / 10.0, quarters / 4.0) + 0.01);
        }
    }
}

TEST(EdgeAdmission, SomeAreAdmittedAtTheGreatestPressureSoThatItsEndIsNoticed)
{
    DOUBLES_EQUAL(0.05, admitted(2, 1.0), 0.01);
}

TEST(EdgeAdmission, ARefusedCallerIsServedBeforeNewOnesWhenItComesBack)
{
    std::uint64_t refused = 0;
    while (refused == 0) {
        refused = admission.admit("route", 2, 0.6, FullWeight, ++lastIdentity) ? 0 : lastIdentity;
    }

    clock.advance(500ms);

    CHECK(admission.admit("route", 2, 0.6, FullWeight, refused));
}

TEST(EdgeAdmission, ReturningCallersAreNotAdmittedOnTopOfTheShare)
{
    int admittedCount = 0;
    int attempts = 0;
    std::vector<std::uint64_t> refused;
    for (int i = 0; i < 2000; ++i) {
        const std::uint64_t identity = ++lastIdentity;
        ++attempts;
        if (admission.admit("route", 2, 0.425, FullWeight, identity)) {
            ++admittedCount;
        } else {
            refused.push_back(identity);
        }
        if (refused.size() > 20) {
            ++attempts;
            admittedCount += admission.admit("route", 2, 0.425, FullWeight, refused.front()) ? 1 : 0;
            refused.erase(refused.begin());
        }
    }

    DOUBLES_EQUAL(0.5, static_cast<double>(admittedCount) / attempts, 0.01);
}

TEST(EdgeAdmission, RetryAfterLeavesTimeForAnAnswerWithinTheTarget)
{
    CHECK(admission.retryAfter(1s, 0.0) >= 200ms);
    CHECK(admission.retryAfter(1s, 1.0) <= 500ms);
}
