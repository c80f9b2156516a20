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
    std::uint64_t lastIdentity = 0;

    // Share of new requests that are admitted.
    double admittedShare(unsigned priority, double pressure)
    {
        constexpr int Requests = 1000;
        int count = 0;
        for (int i = 0; i < Requests; ++i) {
            count += admission.admit("route" + std::to_string(priority), priority, pressure, ++lastIdentity) ? 1 : 0;
        }
        return static_cast<double>(count) / Requests;
    }
};

TEST(EdgeAdmission, AllAreAdmittedWithoutPressure)
{
    DOUBLES_EQUAL(1.0, admittedShare(2, 0.0), 0.0);
}

TEST(EdgeAdmission, LowPriorityIsShedInProportionToThePressureAndPriorityZeroIsNot)
{
    DOUBLES_EQUAL(0.5, admittedShare(2, 0.425), 0.01);
    DOUBLES_EQUAL(1.0, admittedShare(0, 0.85), 0.0);
}

TEST(EdgeAdmission, PriorityZeroIsShedOnlyWhenLowPriorityIsShedToTheMinimum)
{
    DOUBLES_EQUAL(0.05, admittedShare(2, 0.9), 0.01);
    CHECK(admittedShare(0, 0.9) > 0.6);
}

TEST(EdgeAdmission, LowPriorityIsNeverAdmittedMoreThanPriorityZero)
{
    for (int tenths = 0; tenths <= 10; ++tenths) {
        CHECK(admittedShare(2, tenths / 10.0) <= admittedShare(0, tenths / 10.0) + 0.01);
    }
}

TEST(EdgeAdmission, AMinimumShareIsAdmittedAtMaximumPressureToDetectItsEnd)
{
    DOUBLES_EQUAL(0.05, admittedShare(2, 1.0), 0.01);
}

TEST(EdgeAdmission, ARetryAfterARefusalTakesPrecedenceOverNewRequests)
{
    std::uint64_t refused = 0;
    while (refused == 0) {
        refused = admission.admit("route", 2, 0.6, ++lastIdentity) ? 0 : lastIdentity;
    }

    clock.advance(500ms);

    CHECK(admission.admit("route", 2, 0.6, refused));
}

TEST(EdgeAdmission, RetriesAfterRefusalsDoNotRaiseTheAdmittedShare)
{
    int admissions = 0;
    int attempts = 0;
    std::vector<std::uint64_t> refused;
    for (int i = 0; i < 2000; ++i) {
        const std::uint64_t identity = ++lastIdentity;
        ++attempts;
        if (admission.admit("route", 2, 0.425, identity)) {
            ++admissions;
        } else {
            refused.push_back(identity);
        }
        if (refused.size() > 20) {
            ++attempts;
            admissions += admission.admit("route", 2, 0.425, refused.front()) ? 1 : 0;
            refused.erase(refused.begin());
        }
    }

    DOUBLES_EQUAL(0.5, static_cast<double>(admissions) / attempts, 0.01);
}

TEST(EdgeAdmission, RetryAfterLeavesTimeForAResponseWithinTheTarget)
{
    CHECK(admission.retryAfter(1s, 0.0) >= 200ms);
    CHECK(admission.retryAfter(1s, 1.0) <= 500ms);
}
