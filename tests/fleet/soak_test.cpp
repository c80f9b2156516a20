#include <sstream>

#include "fleet/invariantchecks.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork::fleet;

namespace {

// Seeds begin here; runs differ by their number only.
constexpr std::uint64_t FirstSeed = 20261204;
constexpr unsigned Seeds = 50;

// Findings of one run, one to a line, each after the seed.
std::string play(const FleetOptions &options)
{
    std::ostringstream logText;
    Fleet fleet(options, logText);
    fleet.run();
    std::string problems;
    for (const std::string &finding : checkInvariants(fleet)) {
        problems += "seed " + std::to_string(options.seed) + ": " + finding + "\n";
    }
    return problems;
}

} // namespace

TEST_GROUP(Soak){};

// Guards against a promise to callers or backend servers that is broken under any mixture of the modelled troubles.
TEST(Soak, EveryPromiseIsKeptUnderDrawnTroubles)
{
    std::string problems;
    for (unsigned number = 0; number < Seeds; ++number) {
        problems += play({.seed = FirstSeed + number});
    }

    STRCMP_EQUAL("", problems.c_str());
}

// Guards against repeats beyond the budget of the fleet when a whole service loses its answers.
TEST(Soak, LostAnswersOfAWholeServiceAreNotRepeatedBeyondTheBudget)
{
    const Fault fault{
        .kind = FaultKind::LostAnswers, .start = std::chrono::seconds(3), .duration = std::chrono::seconds(8), .wholeService = true};

    STRCMP_EQUAL("", play({.seed = FirstSeed, .faults = {fault}}).c_str());
}

// Guards against a request that crashes one backend server after another.
TEST(Soak, ARequestThatCrashesBackendServersIsStoppedEverywhere)
{
    const Fault fault{.kind = FaultKind::PoisonedRequest, .start = std::chrono::seconds(3), .duration = std::chrono::seconds(1)};

    STRCMP_EQUAL("", play({.seed = FirstSeed, .faults = {fault}}).c_str());
}

// Guards against a request that waits at a leaving instance until long after all nodes know that it leaves.
TEST(Soak, NothingWaitsAtAnInstanceThatLeaves)
{
    const Fault busy{.kind = FaultKind::HangingServer,
                     .start = std::chrono::milliseconds(3000),
                     .duration = std::chrono::milliseconds(1300),
                     .wholeService = true};
    const Fault leaves{.kind = FaultKind::ReplaceInstance,
                       .start = std::chrono::milliseconds(3500),
                       .duration = std::chrono::milliseconds(1000),
                       .host = 2};

    STRCMP_EQUAL("", play({.seed = FirstSeed, .faults = {busy, leaves}}).c_str());
}
