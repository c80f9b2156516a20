#include "invariants/schedulecheck.h"
#include "invariants/simfleet.h"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::test;

namespace {

// CTest runs this with 32 seeds; together these are the 20,000 schedules of the design page.
constexpr int SchedulesPerTest = 650;
constexpr std::uint64_t DefaultSeed = 20261204;

} // namespace

TEST_GROUP(InvariantProperties){};

// Guards against any violation of the invariants of the design page, section 1.3, under any mix of faults.
TEST(InvariantProperties, holdUnderAnyMixOfFaults)
{
    const char *seed = std::getenv("WF_SEED");
    CHECK_TRUE(checkSchedules(seed != nullptr ? std::strtoull(seed, nullptr, 10) : DefaultSeed, SchedulesPerTest, {}));
}
