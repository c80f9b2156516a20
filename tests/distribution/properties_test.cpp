#include "distribution/schedule.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>
#include <utility>

#include <rapidcheck.h>

// After the others: CppUTest replaces `new` by a macro.
#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {
using Script = std::vector<std::uint16_t>;
using Case = std::pair<std::uint64_t, Script>;
// With the 8 seeds of CMakeLists.txt 20,160 schedules.
constexpr int Batches = 63;
constexpr int BatchesWhenOff = 50;
// Probes tell most members of a small fleet in time that a member leaves, so that few schedules show the loss of the notices.
constexpr int BatchesForRareCases = 400;
constexpr std::size_t BatchSize = 40;
constexpr std::uint64_t DefaultSeed = 20261204;
constexpr std::size_t LongestScript = 16;
// Numbers that give each operation, node and kind.
constexpr std::uint16_t Codes = 16 * 6 * 210;

std::string describe(const Case &item, const std::string &violation)
{
    std::string text = violation + "; seed " + std::to_string(item.first) + ", script";
    for (const std::uint16_t code : item.second) {
        text += " " + std::to_string(code);
    }
    return text;
}

// Runs the cases of a batch. Returns the first violation.
std::string runBatch(const std::vector<Case> &batch, const MembershipMechanisms &membership, const DistributionMechanisms &distribution)
{
    for (const Case &item : batch) {
        const std::string violation = Schedule(item.first, membership, distribution).run(item.second);
        if (!violation.empty()) {
            return describe(item, violation);
        }
    }
    return {};
}

std::vector<Case> makeBatch(RandomEngine &random)
{
    std::vector<Case> batch(BatchSize);
    for (Case &item : batch) {
        item.first = random();
        item.second.resize(std::uniform_int_distribution<std::size_t>(0, LongestScript)(random));
        for (std::uint16_t &code : item.second) {
            code = std::uniform_int_distribution<std::uint16_t>(0, Codes - 1)(random);
        }
    }
    return batch;
}

// Runs schedules with the mechanisms given; true if one violates a rule.
bool isViolated(int batches, const MembershipMechanisms &membership, const DistributionMechanisms &distribution)
{
    rc::detail::TestParams params;
    const char *seed = std::getenv("WF_SEED");
    params.seed = seed != nullptr ? std::strtoull(seed, nullptr, 10) : DefaultSeed;
    params.maxSuccess = batches;
    params.disableShrinking = true;
    std::string violation;
    const auto property = [&] {
        RandomEngine random(*rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
        const std::vector<Case> batch = makeBatch(random);
        violation = runBatch(batch, membership, distribution);
        RC_ASSERT(violation.empty());
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
    std::cerr << (violation.empty() ? "no violation" : violation) << "\n";
    return !result.template is<rc::detail::SuccessResult>();
}

bool isViolatedWithout(bool MembershipMechanisms::*mechanism, int batches = BatchesWhenOff)
{
    MembershipMechanisms membership;
    membership.*mechanism = false;
    return isViolated(batches, membership, {});
}

bool isViolatedWithout(bool DistributionMechanisms::*mechanism)
{
    DistributionMechanisms distribution;
    distribution.*mechanism = false;
    return isViolated(BatchesWhenOff, {}, distribution);
}
} // namespace

TEST_GROUP(FleetProperties){};

// Guards against versions that go back, partial, damaged or invalid values in force, nodes that are ready too early, work for leaving
// members, old incarnations that win, decisions on the view from before a pause, and views that stay apart, under any mix of faults.
TEST(FleetProperties, holdUnderAnyMixOfFaults)
{
    CHECK_FALSE(isViolated(Batches, {}, {}));
}

TEST_GROUP(FleetMechanisms){};

// The next tests show that the checks above fail when the mechanism that each covers is off.
TEST(FleetMechanisms, needVersionOrder)
{
    CHECK_TRUE(isViolatedWithout(&DistributionMechanisms::versionOrder));
}

TEST(FleetMechanisms, needHashCheck)
{
    CHECK_TRUE(isViolatedWithout(&DistributionMechanisms::hashCheck));
}

TEST(FleetMechanisms, needWholeValues)
{
    CHECK_TRUE(isViolatedWithout(&DistributionMechanisms::wholeValues));
}

TEST(FleetMechanisms, needPeersAskedAtStart)
{
    // A node that leaves its first read to peers hears from them as well, so both are off.
    CHECK_TRUE(isViolated(BatchesWhenOff, {}, {.askPeersAtStart = false, .coldReadElection = false}));
}

TEST(FleetMechanisms, needValidation)
{
    CHECK_TRUE(isViolatedWithout(&DistributionMechanisms::validation));
}

TEST(FleetMechanisms, needPauseDetection)
{
    CHECK_TRUE(isViolatedWithout(&MembershipMechanisms::pauseDetection));
}

TEST(FleetMechanisms, needLeavingNotices)
{
    CHECK_TRUE(isViolatedWithout(&MembershipMechanisms::leavingNotices, BatchesForRareCases));
}

TEST(FleetMechanisms, needEvidenceOverList)
{
    CHECK_TRUE(isViolatedWithout(&MembershipMechanisms::evidenceOverList));
}

TEST(FleetMechanisms, needIncarnationOrder)
{
    CHECK_TRUE(isViolatedWithout(&MembershipMechanisms::incarnationOrder));
}
