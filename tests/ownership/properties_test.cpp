#include "fleet.h"
#include "schedulecheck.h"
#include "timing.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::test;

namespace {

// Schedules of one of the four tests; together they are the 20,000 of the design page.
constexpr int SchedulesPerTest = 5000;

void checkAllRules(const Schedule &schedule)
{
    Fleet fleet(schedule, {});
    fleet.settle();
    fleet.play();
    const std::string missing = fleet.keysWithoutAnswer();
    const std::string verdict = fleet.judge().verdict();
    if (!verdict.empty() || !missing.empty()) {
        RC_FAIL(verdict + missing);
    }
}

} // namespace

// Guards against a key that runs twice, an untrue `not-run`, a wrong answer, and a key that stays blocked after the faults have ended.
TEST_GROUP(PropertiesA){};
TEST_GROUP(PropertiesB){};
TEST_GROUP(PropertiesC){};
TEST_GROUP(PropertiesD){};

TEST(PropertiesA, keysRunAtMostOnceAndBecomeRunnable)
{
    CHECK_TRUE(checkSchedules(20261204, SchedulesPerTest, checkAllRules));
}

TEST(PropertiesB, keysRunAtMostOnceAndBecomeRunnable)
{
    CHECK_TRUE(checkSchedules(20261205, SchedulesPerTest, checkAllRules));
}

TEST(PropertiesC, keysRunAtMostOnceAndBecomeRunnable)
{
    CHECK_TRUE(checkSchedules(20261206, SchedulesPerTest, checkAllRules));
}

TEST(PropertiesD, keysRunAtMostOnceAndBecomeRunnable)
{
    CHECK_TRUE(checkSchedules(20261207, SchedulesPerTest, checkAllRules));
}
