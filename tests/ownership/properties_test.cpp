#include "fleet.h"
#include "schedulecheck.h"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::test;

namespace {

// CTest runs this eight times with different seeds; together these are the 20,000 schedules of the design page.
constexpr int SchedulesPerTest = 2500;
constexpr std::uint64_t DefaultSeed = 20261204;

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

TEST_GROUP(Properties){};

// Guards against a key that runs twice, an untrue `not-run`, a wrong answer, and a key that stays blocked after the faults have ended.
TEST(Properties, keysRunAtMostOnceAndBecomeRunnable)
{
    const char *seed = std::getenv("WF_SEED");
    CHECK_TRUE(checkSchedules(seed != nullptr ? std::strtoull(seed, nullptr, 10) : DefaultSeed, SchedulesPerTest, checkAllRules));
}
