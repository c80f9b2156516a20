#include "distribution/schedule.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <thread>
#include <utility>

#include <rapidcheck.h>

// After the others: CppUTest replaces `new` by a macro.
#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {
using Script = std::vector<std::uint16_t>;
using Case = std::pair<std::uint64_t, Script>;
constexpr int Batches = 500;
constexpr int BatchesWhenOff = 50;
constexpr std::size_t BatchSize = 40;
constexpr std::size_t Threads = 3;
constexpr std::uint64_t Seed = 20261204;
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

// Runs the cases of a batch in a few threads; the core has no shared state. Returns the first violation.
std::string runBatch(const std::vector<Case> &batch, const MembershipMechanisms &membership, const DistributionMechanisms &distribution)
{
    std::array<std::string, Threads> violations;
    std::vector<std::thread> threads;
    for (std::size_t t = 0; t < Threads; ++t) {
        threads.emplace_back([&, t] {
            for (std::size_t i = t; i < batch.size() && violations.at(t).empty(); i += Threads) {
                const std::string violation = Schedule(batch[i].first, membership, distribution).run(batch[i].second);
                violations.at(t) = violation.empty() ? violation : describe(batch[i], violation);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const auto first = std::find_if(violations.begin(), violations.end(), [](const std::string &v) { return !v.empty(); });
    return first == violations.end() ? std::string() : *first;
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
    params.seed = Seed;
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

bool isViolatedWithout(bool MembershipMechanisms::*mechanism)
{
    MembershipMechanisms membership;
    membership.*mechanism = false;
    return isViolated(BatchesWhenOff, membership, {});
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

// The next tests show that the checks above fail when the mechanism that each covers is off.
TEST(FleetProperties, needVersionOrder)
{
    CHECK_TRUE(isViolatedWithout(&DistributionMechanisms::versionOrder));
}

TEST(FleetProperties, needHashCheck)
{
    CHECK_TRUE(isViolatedWithout(&DistributionMechanisms::hashCheck));
}

TEST(FleetProperties, needWholeValues)
{
    CHECK_TRUE(isViolatedWithout(&DistributionMechanisms::wholeValues));
}

TEST(FleetProperties, needPeersAskedAtStart)
{
    CHECK_TRUE(isViolatedWithout(&DistributionMechanisms::askPeersAtStart));
}

TEST(FleetProperties, needValidation)
{
    CHECK_TRUE(isViolatedWithout(&DistributionMechanisms::validation));
}

TEST(FleetProperties, needPauseDetection)
{
    CHECK_TRUE(isViolatedWithout(&MembershipMechanisms::pauseDetection));
}

TEST(FleetProperties, needLeavingNotices)
{
    CHECK_TRUE(isViolatedWithout(&MembershipMechanisms::leavingNotices));
}

TEST(FleetProperties, needEvidenceOverList)
{
    CHECK_TRUE(isViolatedWithout(&MembershipMechanisms::evidenceOverList));
}

TEST(FleetProperties, needIncarnationOrder)
{
    CHECK_TRUE(isViolatedWithout(&MembershipMechanisms::incarnationOrder));
}
