#include "core/distribution/valuefetcher.h"
#include "distribution/simfleet.h"

#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

// After the others: CppUTest replaces `new` by a macro.
#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t Services = 40;
// 1,000 nodes. The number of early readers hardly depends on the size of the fleet, so that a small one passes a bound that is its share.
constexpr std::size_t ManyServices = 125;
constexpr std::size_t Instances = 8;
constexpr std::size_t Domains = 4;

SimOptions options(DistributionMechanisms mechanisms)
{
    return {.services = Services, .instances = Instances, .domains = Domains, .calls = 2, .distribution = {.mechanisms = mechanisms}};
}

bool areAllReady(SimFleet &fleet)
{
    return std::all_of(fleet.nodes().begin(), fleet.nodes().end(), [](const SimNode &node) { return node.distribution->isReady(); });
}

void startCold(SimFleet &fleet)
{
    fleet.startAll();
    fleet.publishLists();
    CHECK_TRUE_TEXT(fleet.runUntil([&] { return areAllReady(fleet); }, 60s), "the fleet does not come up by itself");
}

// Index reads of the busiest second until all nodes are ready.
std::uint64_t indexReadsAtColdStart(DistributionMechanisms mechanisms)
{
    SimOptions many = options(mechanisms);
    many.services = ManyServices;
    SimFleet fleet(many);
    fleet.startAll();
    fleet.publishLists();
    std::uint64_t most = 0;
    for (int second = 0; second < 60 && !areAllReady(fleet); ++second) {
        const std::uint64_t before = fleet.readsOf["config"];
        fleet.run(1s);
        most = std::max(most, fleet.readsOf["config"] - before);
    }
    CHECK_TRUE_TEXT(areAllReady(fleet), "the fleet does not come up by itself");
    return most;
}

std::size_t watchesAfterStart(DistributionMechanisms mechanisms)
{
    SimOptions few = options(mechanisms);
    few.services = 10;
    SimFleet fleet(few);
    startCold(fleet);
    fleet.run(20s);
    return fleet.watches();
}

// A change is published while every message between nodes is lost; true if all nodes have it 15 s after the loss has ended.
bool reachesAllAfterLostPushes(DistributionMechanisms mechanisms)
{
    SimOptions few = options(mechanisms);
    few.services = 10;
    SimFleet fleet(few);
    startCold(fleet);
    fleet.run(20s);
    fleet.setLoss(1, 0);
    fleet.publishSlice(0, "change");
    // Shorter than what makes members suspect each other, since suspicion has digests sent too.
    fleet.run(400ms);
    fleet.setLoss(0, 0);
    const std::uint64_t version = fleet.platform().configurationVersion();
    return fleet.runUntil(
        [&] {
            return std::all_of(fleet.nodes().begin(), fleet.nodes().end(),
                               [&](const SimNode &node) { return node.distribution->inForce().version == version; });
        },
        15s);
}

// A member announces that it leaves; true if a node still has it as usable 3 s later.
bool isUsedAfterLeaving(MembershipMechanisms mechanisms)
{
    SimOptions few = options({});
    few.services = 10;
    few.membership.mechanisms = mechanisms;
    SimFleet fleet(few);
    startCold(fleet);
    fleet.run(10s);
    const MemberInfo leaving = fleet.nodes()[9].info;
    fleet.nodes()[9].membership->announceLeaving();
    fleet.run(3s);
    return std::any_of(fleet.nodes().begin(), fleet.nodes().end(), [&](const SimNode &node) {
        const auto all = node.membership->view(leaving.service).all;
        return std::any_of(all.begin(), all.end(),
                           [&](const Candidate &c) { return node.info.name != leaving.name && c.name == leaving.name && c.usable(); });
    });
}

// Messages with which a node answers 1,000 questions that arrive at once.
std::size_t answersToAFlood(DistributionMechanisms mechanisms)
{
    ManualClock clock;
    clock.advance(1h);
    const MemberInfo self{.name = NodeId("self"), .incarnation = 1, .service = ServiceId("katalog"), .peerAddress = "10.0.0.1:7101"};
    Membership membership({.self = self}, clock, RandomEngine(1));
    Distribution distribution({.mechanisms = mechanisms}, membership, clock, RandomEngine(2));
    VersionDigest question{.question = 7};
    question.sender = {.name = NodeId("other"), .incarnation = 1, .service = ServiceId("katalog"), .address = "10.0.0.2:7101"};
    for (int i = 0; i < 1000; ++i) {
        distribution.handle(question.sender.name, question);
    }
    return distribution.takeOutputs().size();
}

// Seeds that a starting node asks in 5 s although the first message of a peer has arrived before.
std::set<std::string> seedsAskedBesideAPeer(const std::vector<std::string> &seeds)
{
    ManualClock clock;
    clock.advance(1h);
    const MemberInfo self{.name = NodeId("self"), .incarnation = 1, .service = ServiceId("katalog"), .peerAddress = "10.0.0.1:7101"};
    Membership membership({.self = self, .seeds = seeds}, clock, RandomEngine(1));
    Distribution distribution({}, membership, clock, RandomEngine(2));
    const Introduction peer{.name = NodeId("other"), .incarnation = 1, .service = ServiceId("preise"), .address = "10.0.0.2:7101"};
    std::set<std::string> asked;
    for (int tick = 0; tick < 50; ++tick) {
        clock.advance(100ms);
        membership.learn(peer);
        membership.tick();
        distribution.tick();
        for (const DistributionOutput &output : distribution.takeOutputs()) {
            const auto *sent = std::get_if<SendDistributionMessage>(&output);
            if (sent != nullptr && std::find(seeds.begin(), seeds.end(), sent->address) != seeds.end()) {
                asked.insert(sent->address);
            }
        }
    }
    return asked;
}

// Pulls of a starting node in 10 s, with as many values missing as a node of the target needs and nobody who has them.
std::size_t pullsWithoutAnswer(const DistributionOptions &options)
{
    constexpr std::size_t Values = 17;
    ManualClock clock;
    clock.advance(1h);
    const MemberInfo self{.name = NodeId("self"), .incarnation = 1, .service = ServiceId("katalog"), .peerAddress = "10.0.0.1:7101"};
    Membership membership({.self = self}, clock, RandomEngine(1));
    membership.learn({.name = NodeId("other"), .incarnation = 1, .service = ServiceId("preise"), .address = "10.0.0.2:7101"});
    membership.tick();
    ValueFetcher fetcher(options, membership, RandomEngine(2));
    std::vector<IndexEntry> missing;
    for (std::size_t i = 0; i < Values; ++i) {
        missing.push_back({.service = SimFleet::serviceId(i), .version = 1, .hash = 1});
    }
    fetcher.setWanted(ValueFamily::Configuration, missing, clock.now());
    fetcher.setSpread(30s);
    std::size_t pulls = 0;
    for (int tick = 0; tick < 100; ++tick) {
        clock.advance(100ms);
        const std::vector<ValueFetcher::Request> requests = fetcher.takeDue(clock.now(), false);
        pulls += static_cast<std::size_t>(
            std::count_if(requests.begin(), requests.end(), [](const ValueFetcher::Request &request) { return !request.address.empty(); }));
    }
    return pulls;
}
} // namespace

TEST_GROUP(FleetScenarios){};

// Guards against a cold fleet whose nodes know one peer each, so that the index spreads more slowly than further nodes begin to read it.
TEST(FleetScenarios, askAllSeedsAtTheStart)
{
    const std::vector<std::string> seeds{"10.0.1.1:7101", "10.0.1.2:7101", "10.0.1.3:7101"};
    CHECK_EQUAL(seeds.size(), seedsAskedBesideAPeer(seeds).size());
}

// Guards against pulls that alone exceed the message budget, so that answers to others are dropped and they read at the service.
TEST(FleetScenarios, pullWithinTheMessageBudgetAtTheStart)
{
    const DistributionOptions defaults;
    const std::size_t pulls = pullsWithoutAnswer(defaults);
    CHECK_COMPARE(pulls, >, 0U);
    CHECK_COMPARE(static_cast<double>(pulls), <, 10 * defaults.messagesPerSecond);
}

// Guards against a fleet that starts cold and reads together: 28,000 nodes may make 2,000 reads in a second, one of 14 nodes.
TEST(FleetScenarios, leaveTheIndexToAFewReadersAtAColdStart)
{
    constexpr std::uint64_t Bound = ManyServices * Instances / 14;
    CHECK_COMPARE(indexReadsAtColdStart({}), <=, Bound);
    CHECK_COMPARE(indexReadsAtColdStart({.coldReadElection = false}), >, Bound);
}

// Guards against a service that is overrun by watches: two readers per failure domain with two keys each.
TEST(FleetScenarios, watchWithTwoReadersInEachDomain)
{
    constexpr std::size_t Bound = std::size_t{2} * 2 * Domains;
    CHECK_COMPARE(watchesAfterStart({}), <=, Bound);
    CHECK_COMPARE(watchesAfterStart({.readerElection = false}), >, Bound);
}

// Guards against nodes that stay behind since the push of a change did not reach them.
TEST(FleetScenarios, catchUpAfterLostPushes)
{
    CHECK_TRUE(reachesAllAfterLostPushes({}));
    CHECK_FALSE(reachesAllAfterLostPushes({.antiEntropy = false}));
}

// Guards against callers that send new work to a member that leaves: bound 3 s, before any host list says so.
TEST(FleetScenarios, stopUsingALeavingMember)
{
    CHECK_FALSE(isUsedAfterLeaving({}));
    CHECK_TRUE(isUsedAfterLeaving({.leavingNotices = false}));
}

// Guards against a node that a flood of questions makes send without bound: 100 messages at once are allowed.
TEST(FleetScenarios, boundAnswersToAFlood)
{
    CHECK_COMPARE(answersToAFlood({}), <=, 100U);
    CHECK_COMPARE(answersToAFlood({.budgets = false}), >, 100U);
}

// Guards against a restarted node that waits for its turn to read although its peers have all that it needs.
TEST(FleetScenarios, startOneNodeFromItsPeersWithoutReadingTheIndex)
{
    SimFleet fleet(options({}));
    startCold(fleet);
    fleet.run(10s);
    const std::uint64_t reads = fleet.readsOf["config"];
    fleet.kill(5);
    fleet.run(1s);
    fleet.start(5);

    CHECK_TRUE(fleet.runUntil([&] { return fleet.nodes()[5].distribution->isReady(); }, 3s));
    CHECK_EQUAL(reads, fleet.readsOf["config"]);
}

// Guards against a node that waits without end for peers that are not there.
TEST(FleetScenarios, startANodeWhosePeersDoNotAnswer)
{
    SimFleet fleet(options({}));
    fleet.publishLists();
    fleet.start(0);

    CHECK_TRUE(fleet.runUntil([&] { return fleet.nodes()[0].distribution->isReady(); }, 60s));
}
