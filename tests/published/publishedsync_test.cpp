#include "syncfleet.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

// A configuration has to be in force, and a draining instance unused, this long after the source has acknowledged the change.
constexpr Duration ChangeBound = 2s;

std::string describe(const std::vector<unsigned> &nodes)
{
    std::string text = std::to_string(nodes.size()) + " nodes:";
    for (const unsigned node : nodes) {
        text += " " + std::to_string(node);
    }
    return text;
}

} // namespace

TEST_GROUP(PublishedSync){static void checkNoneStale(SyncFleet & fleet, const std::set<unsigned> &excluded,
                                                     const char *situation){const std::vector<unsigned> stale = fleet.staleNodes(excluded);
CHECK_TEXT(stale.empty(), (std::string(situation) + ": " + describe(stale)).c_str());
LONGS_EQUAL_TEXT(0, fleet.regressions, situation);
}

// One failure domain without traffic, in which all nodes but the survivors lose power; the readers are among the lost ones. The survivors
// have the lowest places in the ranking that are left, or the highest ones.
static void playLossOfNodes(unsigned nodes, unsigned survivors, bool lowestPlaces, int changes)
{
    SyncFleet fleet({.nodes = nodes, .domains = 1, .messagesPerSecond = 0.0, .listedAtStart = nodes > 300});
    fleet.start();
    fleet.time.runFor(10s);
    std::vector<unsigned> ranking = fleet.ranking();
    const std::vector<unsigned> readers = fleet.readers();
    const std::set<unsigned> reading(readers.begin(), readers.end());
    if (!lowestPlaces) {
        std::ranges::reverse(ranking);
    }
    std::set<unsigned> lost = reading;
    std::set<unsigned> alive;
    for (const unsigned node : ranking) {
        if (alive.size() < survivors && !reading.contains(node)) {
            alive.insert(node);
        } else {
            lost.insert(node);
        }
    }
    for (const unsigned node : lost) {
        fleet.freezeNode(node, 20s);
    }
    fleet.time.runFor(10ms);
    for (int number = 0; number < changes; ++number) {
        fleet.source.put(FeedId::Configuration, "configuration", std::to_string(number + 2));
        fleet.time.runFor(ChangeBound);
        checkNoneStale(fleet, lost, (std::to_string(nodes) + " nodes, " + std::to_string(alive.size()) + " left").c_str());
    }
}

static void change(SyncFleet &fleet, int number)
{
    fleet.source.put(FeedId::Configuration, "configuration", std::to_string(number));
    fleet.source.put(FeedId::Instances, SyncFleet::keyOf(static_cast<unsigned>(number) % fleet.nodeCount()), "draining");
}
}
;

// Guards against calls to the source that grow with the number of nodes.
TEST(PublishedSync, TheCallsToTheSourceDoNotGrowWithTheNodes)
{
    std::vector<unsigned> callsBySize;
    for (const unsigned nodes : {30U, 300U}) {
        SyncFleet fleet({.nodes = nodes});
        fleet.start();
        fleet.time.runFor(10s);
        const unsigned before = fleet.calls;
        fleet.time.runFor(30s);
        callsBySize.push_back(fleet.calls - before);
        LONGS_EQUAL(12, fleet.readers().size());
        checkNoneStale(fleet, {}, "without faults");
    }

    CHECK(callsBySize[1] <= callsBySize[0] + callsBySize[0] / 10);
    // 12 readers with two watches of 3 to 4 s each.
    CHECK(callsBySize[1] <= 12 * 2 * 11);
}

// Guards against a start of all nodes at once that calls the source once or more for each node.
TEST(PublishedSync, AStartOfTheWholeFleetReadsTheSourceOnAFewNodes)
{
    SyncFleet fleet({.nodes = 95});
    fleet.start();
    fleet.time.runFor(8s);

    checkNoneStale(fleet, {}, "start");
    CHECK_TEXT(fleet.calls <= 250, std::to_string(fleet.calls).c_str());
    CHECK(fleet.candidateReads <= 95 * 5);
}

TEST(PublishedSync, AChangeIsKnownEverywhereWithinItsBound)
{
    SyncFleet fleet({});
    fleet.start();
    fleet.time.runFor(10s);
    for (int number = 0; number < 20; ++number) {
        change(fleet, number);
        fleet.time.runFor(ChangeBound);
        checkNoneStale(fleet, {}, "change");
    }
}

// Guards against changes that are late because the readers of a failure domain have failed without a sign. Without traffic between the
// nodes, only the readers themselves can show it.
TEST(PublishedSync, TheLossOfAllReadersDelaysNoChangeBeyondTheBound)
{
    enum class Loss : std::uint8_t {
        Killed,
        Frozen,
        CutFromTheSource,
        RefusedByTheSource,
        SendsNothing,
        ReceivesNothing,
    };
    for (const Loss loss :
         {Loss::Killed, Loss::Frozen, Loss::CutFromTheSource, Loss::RefusedByTheSource, Loss::SendsNothing, Loss::ReceivesNothing}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            SyncFleet fleet({.seed = seed});
            fleet.start();
            fleet.time.runFor(10s);
            // All readers of two of the six failure domains.
            std::set<unsigned> lost;
            for (const unsigned reader : fleet.readers()) {
                if (reader % 6 < 2) {
                    lost.insert(reader);
                }
            }
            LONGS_EQUAL(4, lost.size());
            for (const unsigned reader : lost) {
                switch (loss) {
                case Loss::Killed:
                    fleet.killNode(reader);
                    break;
                case Loss::Frozen:
                    fleet.freezeNode(reader, 8s);
                    break;
                case Loss::CutFromTheSource:
                    fleet.setAccess(reader, SimulatedSource::State::Silent);
                    break;
                case Loss::RefusedByTheSource:
                    fleet.setAccess(reader, SimulatedSource::State::Refusing);
                    break;
                case Loss::SendsNothing:
                    fleet.cutOff(reader, true, false);
                    break;
                case Loss::ReceivesNothing:
                    fleet.cutOff(reader, false, true);
                    break;
                }
            }
            for (int number = 0; number < 4; ++number) {
                change(fleet, number);
                fleet.time.runFor(ChangeBound);
                checkNoneStale(fleet, lost, ("loss " + std::to_string(static_cast<int>(loss))).c_str());
            }
        }
    }
}

// Guards against a node that keeps an old configuration because it waits for readers that have lost power together with most other nodes
// of its failure domain. The bound must hold for every node that still runs, whatever its place in the ranking and however many are lost.
TEST(PublishedSync, TheLossOfMostNodesDelaysNoChangeOnTheOthers)
{
    for (const unsigned nodes : {2U, 3U, 4U, 5U, 8U, 17U, 40U, 300U}) {
        for (const unsigned survivors : {1U, 2U, nodes * 2 / 5}) {
            if (survivors > 0 && survivors < nodes) {
                playLossOfNodes(nodes, survivors, true, 4);
                playLossOfNodes(nodes, survivors, false, 4);
            }
        }
    }
}

// The same in a failure domain of the largest size that is required: 28,000 nodes in 20 domains. Only the highest places, which wait
// longest.
TEST(PublishedSync, TheLossOfMostNodesOfALargeDomainDelaysNoChange)
{
    playLossOfNodes(1400, 1, false, 2);
    playLossOfNodes(1400, 560, false, 2);
}

// Guards against an outage of the source after which nodes stay behind, and in which all nodes call it.
TEST(PublishedSync, AnOutageOfTheSourceIsFollowedByFreshStateAndFewCalls)
{
    for (const SimulatedSource::State state : {SimulatedSource::State::Refusing, SimulatedSource::State::Silent}) {
        SyncFleet fleet({});
        fleet.start();
        fleet.time.runFor(10s);
        fleet.mostCallsPerSecond = 0;
        fleet.source.state = state;
        fleet.time.runFor(4500ms);
        change(fleet, 7);
        fleet.source.state = SimulatedSource::State::Up;

        fleet.time.runFor(3s);

        checkNoneStale(fleet, {}, "outage");
        // All 300 nodes reading by themselves would make more than 600 calls a second.
        CHECK(fleet.mostCallsPerSecond <= 300);
        fleet.time.runFor(20s);
        LONGS_EQUAL(12, fleet.readers().size());
    }
}

// Guards against a lost history that lets removed keys return, or after which all nodes read everything.
TEST(PublishedSync, ALostHistoryIsReadAgainByTheReadersOnly)
{
    SyncFleet fleet({});
    fleet.start();
    fleet.time.runFor(10s);
    fleet.source.remove(FeedId::Instances, SyncFleet::keyOf(17));
    fleet.source.forgetHistory();
    const unsigned before = fleet.calls;

    fleet.time.runFor(5s);

    checkNoneStale(fleet, {}, "lost history");
    CHECK(fleet.calls - before <= 120);
}

// Guards against a restarted node that gets a key which was removed meanwhile, or an old configuration.
TEST(PublishedSync, ARestartedNodeKnowsOnlyWhatIsStillPublished)
{
    SyncFleet fleet({.nodes = 60});
    fleet.start();
    fleet.time.runFor(10s);
    fleet.killNode(5);
    fleet.source.remove(FeedId::Instances, SyncFleet::keyOf(20));
    change(fleet, 9);
    fleet.time.runFor(1s);
    fleet.startNode(5);

    fleet.time.runFor(ChangeBound);

    checkNoneStale(fleet, {}, "restart");
}

// Guards against proofs that come too late for requests with keys although the source answers, also after the loss of readers, and against
// calls to the source that grow with the nodes.
TEST(PublishedSync, EveryNodeKeepsARecentProofThatItsConfigurationIsTheNewest)
{
    SyncFleet fleet({.sync = {.confirmationInterval = 2500ms}});
    fleet.start();
    fleet.time.runFor(10s);
    const unsigned before = fleet.calls;
    Duration oldest{0};
    for (int step = 0; step < 300; ++step) {
        fleet.time.runFor(100ms);
        oldest = std::max(oldest, fleet.oldestProof());
    }
    // The interval, the steps of the clock, and the way to the node.
    CHECK_TEXT(oldest <= 2800ms, std::to_string(oldest.count()).c_str());
    // One call a second of each of the 12 readers, for both watches and the proofs.
    CHECK(fleet.calls - before <= 30 * 12);

    for (const unsigned reader : fleet.readers()) {
        fleet.killNode(reader);
        fleet.time.runFor(2s);
        CHECK(fleet.oldestProof() <= 5s);
    }
    LONGS_EQUAL(0, fleet.falseProofs);
}

// Guards against a node that accepts a withdrawn key for too long, because its proof names a time at which it did not know the newest
// configuration.
TEST(PublishedSync, AProofNeverNamesATimeAtWhichANewerConfigurationWasUnknown)
{
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        std::mt19937_64 random(seed);
        SyncFleet fleet({.nodes = 60, .seed = seed, .sync = {.confirmationInterval = 2500ms}});
        fleet.start();
        fleet.time.runFor(8s);
        for (int step = 0; step < 60; ++step) {
            const unsigned victim = static_cast<unsigned>(random() % fleet.nodeCount());
            switch (random() % 6) {
            case 0:
                fleet.freezeNode(victim, std::chrono::milliseconds(random() % 6000));
                break;
            case 1:
                fleet.setAccess(victim, static_cast<SimulatedSource::State>(random() % 3));
                break;
            case 2:
                fleet.cutOff(victim, random() % 2 == 0, random() % 2 == 0);
                break;
            case 3:
                fleet.source.state = static_cast<SimulatedSource::State>(random() % 3);
                break;
            case 4:
                fleet.source.forgetHistory();
                break;
            default:
                fleet.source.put(FeedId::Configuration, "configuration", std::to_string(step));
            }
            fleet.time.runFor(std::chrono::milliseconds(random() % 800));
        }
        LONGS_EQUAL_TEXT(0, fleet.falseProofs, ("seed " + std::to_string(seed)).c_str());
    }
}

// Guards against an older configuration, a removed instance or a draining one that comes back into use after the source has come back from
// an older copy, and against nodes that miss what is written afterwards because its revisions were seen before.
TEST(PublishedSync, NothingReturnsFromAnOlderCopyOfTheSource)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        std::mt19937_64 random(seed);
        SyncFleet fleet({.nodes = 60, .seed = seed, .sync = {.confirmationInterval = seed % 2 == 0 ? 2500ms : 0ms}});
        fleet.start();
        fleet.time.runFor(10s);
        const SimulatedSource::Copy copy = fleet.source.copy();
        fleet.source.put(FeedId::Configuration, "configuration", "5");
        fleet.source.remove(FeedId::Instances, SyncFleet::keyOf(7));
        fleet.source.put(FeedId::Instances, SyncFleet::keyOf(8), "draining");
        fleet.time.runFor(3s);
        checkNoneStale(fleet, {}, "before");

        fleet.goneForGood.insert(SyncFleet::keyOf(7));
        fleet.source.state = SimulatedSource::State::Refusing;
        fleet.time.runFor(std::chrono::milliseconds(random() % 3000));
        fleet.source.restore(copy);
        fleet.source.state = SimulatedSource::State::Up;
        fleet.time.runFor(std::chrono::milliseconds(500 + random() % 2500));
        if (seed % 3 == 0) {
            const auto victim = static_cast<unsigned>(random() % fleet.nodeCount());
            fleet.killNode(victim);
            fleet.time.runFor(200ms);
            fleet.startNode(victim);
        }
        for (unsigned node = 0; node < fleet.nodeCount(); ++node) {
            CHECK_TEXT(fleet.configurationOf(node) >= 5 || seed % 3 == 0, std::to_string(node).c_str());
        }
        // The operator and the instances write again what was lost, and go on.
        fleet.source.put(FeedId::Configuration, "configuration", "5");
        fleet.source.remove(FeedId::Instances, SyncFleet::keyOf(7));
        fleet.source.put(FeedId::Instances, SyncFleet::keyOf(8), "draining");
        fleet.time.runFor(ChangeBound);
        fleet.source.put(FeedId::Configuration, "configuration", "6");
        fleet.source.put(FeedId::Instances, SyncFleet::keyOf(9), "draining");
        fleet.time.runFor(ChangeBound);

        for (unsigned node = 0; node < fleet.nodeCount(); ++node) {
            LONGS_EQUAL_TEXT(6, fleet.configurationOf(node), ("seed " + std::to_string(seed)).c_str());
        }
        checkNoneStale(fleet, {}, ("seed " + std::to_string(seed)).c_str());
    }
}

// Guards against violations under random combinations of faults: a change is known everywhere within its bound after the last fault,
// versions never go back and removed keys never return.
TEST(PublishedSync, TheFleetRecoversFromRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        std::mt19937_64 random(seed);
        SyncFleet fleet(
            {.nodes = 60 + static_cast<unsigned>(random() % 100), .seed = seed, .messagesPerSecond = random() % 3 == 0 ? 0.0 : 5.0});
        const auto draw = [&] {
            return static_cast<unsigned>(random() % fleet.nodeCount());
        };
        fleet.start();
        fleet.time.runFor(8s);
        std::set<unsigned> stopped;
        for (int step = 0; step < 40; ++step) {
            const std::vector<unsigned> readers = fleet.readers();
            const unsigned victim = random() % 2 == 0 && !readers.empty() ? readers[random() % readers.size()] : draw();
            switch (random() % 8) {
            case 0:
                fleet.killNode(victim);
                stopped.insert(victim);
                break;
            case 1:
                fleet.freezeNode(victim, std::chrono::milliseconds(random() % 4000));
                break;
            case 2:
                fleet.setAccess(victim, static_cast<SimulatedSource::State>(random() % 3));
                break;
            case 3:
                fleet.cutOff(victim, random() % 2 == 0, random() % 2 == 0);
                break;
            case 4:
                fleet.source.state = static_cast<SimulatedSource::State>(random() % 3);
                break;
            case 5:
                fleet.source.remove(FeedId::Instances, SyncFleet::keyOf(draw()));
                break;
            case 6:
                fleet.source.forgetHistory();
                break;
            default:
                change(fleet, step);
            }
            if (!stopped.empty() && random() % 2 == 0) {
                fleet.startNode(*stopped.begin());
                stopped.erase(stopped.begin());
            }
            fleet.time.runFor(std::chrono::milliseconds(random() % 800));
        }
        fleet.source.state = SimulatedSource::State::Up;
        for (unsigned node = 0; node < fleet.nodeCount(); ++node) {
            fleet.setAccess(node, SimulatedSource::State::Up);
            fleet.cutOff(node, false, false);
            if (!fleet.isRunning(node)) {
                fleet.startNode(node);
            }
        }
        fleet.time.runFor(6s);
        change(fleet, 1000);
        fleet.time.runFor(ChangeBound);
        checkNoneStale(fleet, {}, ("seed " + std::to_string(seed)).c_str());
    }
}
