#include <sstream>

#include "fleet/invariantchecks.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork::fleet;

namespace {

// The simulations use consecutive seeds from this one on.
constexpr std::uint64_t FirstSeed = 20261204;
constexpr unsigned SeedsPerTest = 10;

// Runs a simulation and returns the violated invariants, one per line after the seed.
std::string findingsOf(const FleetOptions &options)
{
    std::ostringstream logText;
    Fleet fleet(options, logText);
    fleet.run();
    std::string findings;
    for (const std::string &finding : checkInvariants(fleet)) {
        findings += "seed " + std::to_string(options.seed) + ": " + finding + "\n";
    }
    return findings;
}

// Runs the simulations of ten seeds with random faults.
std::string findingsOfSeeds(unsigned firstNumber)
{
    std::string findings;
    for (unsigned number = firstNumber; number < firstNumber + SeedsPerTest; ++number) {
        findings += findingsOf({.seed = FirstSeed + number});
    }
    return findings;
}

} // namespace

TEST_GROUP(Soak){};

// Guards against violations of the invariants under random combinations of all simulated faults. The seeds are split over several tests,
// which run at the same time.
TEST(Soak, InvariantsHoldUnderRandomFaultsOfTheSeedsFrom0)
{
    STRCMP_EQUAL("", findingsOfSeeds(0).c_str());
}

TEST(Soak, InvariantsHoldUnderRandomFaultsOfTheSeedsFrom10)
{
    STRCMP_EQUAL("", findingsOfSeeds(10).c_str());
}

TEST(Soak, InvariantsHoldUnderRandomFaultsOfTheSeedsFrom20)
{
    STRCMP_EQUAL("", findingsOfSeeds(20).c_str());
}

TEST(Soak, InvariantsHoldUnderRandomFaultsOfTheSeedsFrom30)
{
    STRCMP_EQUAL("", findingsOfSeeds(30).c_str());
}

TEST(Soak, InvariantsHoldUnderRandomFaultsOfTheSeedsFrom40)
{
    STRCMP_EQUAL("", findingsOfSeeds(40).c_str());
}

// Guards against retries beyond the retry budget when the responses of all instances of a service are lost.
TEST(Soak, RetriesStayWithinTheBudgetWhenAServiceLosesItsResponses)
{
    const Fault fault{
        .kind = FaultKind::LostAnswers, .start = std::chrono::seconds(3), .duration = std::chrono::seconds(8), .wholeService = true};

    STRCMP_EQUAL("", findingsOf({.seed = FirstSeed, .faults = {fault}}).c_str());
}

// Guards against a request that is retried on one backend server after another and crashes each of them.
TEST(Soak, ARequestThatCrashesBackendServersIsBlockedOnAllNodes)
{
    const Fault fault{.kind = FaultKind::PoisonedRequest, .start = std::chrono::seconds(3), .duration = std::chrono::seconds(1)};

    STRCMP_EQUAL("", findingsOf({.seed = FirstSeed, .faults = {fault}}).c_str());
}

// Guards against a request that waits in the queue of a draining instance until long after all nodes know that it is draining.
TEST(Soak, NoRequestKeepsWaitingForADrainingInstance)
{
    const Fault hanging{.kind = FaultKind::HangingServer,
                        .start = std::chrono::milliseconds(3000),
                        .duration = std::chrono::milliseconds(1300),
                        .wholeService = true};
    const Fault draining{.kind = FaultKind::ReplaceInstance,
                         .start = std::chrono::milliseconds(3500),
                         .duration = std::chrono::milliseconds(1000),
                         .host = 2};

    STRCMP_EQUAL("", findingsOf({.seed = FirstSeed, .faults = {hanging, draining}}).c_str());
}
