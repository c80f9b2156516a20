#include "core/published/publishedfeed.h"
#include "core/published/readerranking.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

PublishedChange item(const char *key, std::uint64_t revision, const char *value = "v")
{
    return {.key = key, .value = value, .creationRevision = revision, .revision = revision};
}

PublishedChange removal(const char *key, std::uint64_t revision)
{
    return {.key = key, .revision = revision, .removed = true};
}

std::string keysOf(const PublishedFeed &feed)
{
    std::string keys;
    for (const PublishedChange &known : feed.content()) {
        keys += known.key + "@" + std::to_string(known.revision) + " ";
    }
    return keys;
}

std::vector<PublishedChange> valuesOf(const std::map<std::string, PublishedChange> &items)
{
    std::vector<PublishedChange> values;
    values.reserve(items.size());
    for (const auto &[key, value] : items) {
        values.push_back(value);
    }
    return values;
}

} // namespace

TEST_GROUP(PublishedFeed)
{
    PublishedFeed feed;
};

TEST(PublishedFeed, AnItemOfAnOlderRevisionNeverReplacesANewerOne)
{
    feed.replaceAll({item("a", 9, "new")}, 10);

    LONGS_EQUAL(0, feed.applyChanges({item("a", 8, "old")}, 10).size());

    STRCMP_EQUAL("new", feed.content().at(0).value.c_str());
}

// Guards against a key that was removed and comes back from a node whose state is older, also after a restart that began with the state of
// another node.
TEST(PublishedFeed, ARemovedKeyNeverReturnsFromAnOlderSource)
{
    PublishedFeed lagging;
    lagging.replaceAll({item("a", 3), item("b", 4)}, 5);
    feed.replaceAll({item("a", 3), item("b", 4)}, 5);
    feed.applyChanges({removal("a", 7)}, 8);
    PublishedFeed restarted;
    restarted.merge(feed.updateSince(0));

    for (PublishedFeed *target : {&feed, &restarted}) {
        target->merge(lagging.updateSince(0));
        target->merge({.from = 0, .to = 4, .whole = true, .changes = {item("a", 3)}});
        target->applyChanges({item("a", 3)}, 0);
        STRCMP_EQUAL("b@4 ", keysOf(*target).c_str());
    }
    lagging.merge(feed.updateSince(lagging.completeRevision()));
    STRCMP_EQUAL("b@4 ", keysOf(lagging).c_str());
}

TEST(PublishedFeed, AKeyThatIsPublishedAgainAfterItsRemovalIsKnownAgain)
{
    feed.replaceAll({item("a", 3)}, 5);
    feed.applyChanges({removal("a", 7), item("a", 9)}, 9);

    STRCMP_EQUAL("a@9 ", keysOf(feed).c_str());
}

// Guards against a whole read that takes back what a watch has reported since.
TEST(PublishedFeed, AWholeReadOfAnOlderRevisionIsIgnored)
{
    feed.replaceAll({item("a", 3)}, 5);
    feed.applyChanges({item("b", 7)}, 7);

    LONGS_EQUAL(0, feed.replaceAll({item("a", 3)}, 6).size());

    STRCMP_EQUAL("a@3 b@7 ", keysOf(feed).c_str());
}

TEST(PublishedFeed, AWholeReadReportsOnlyTheDifferences)
{
    feed.replaceAll({item("a", 3), item("b", 4)}, 5);

    const auto changes = feed.replaceAll({item("b", 4), item("c", 8)}, 9);

    LONGS_EQUAL(2, changes.size());
    CHECK_TRUE(std::ranges::any_of(changes, [](const PublishedChange &change) { return change.removed && change.key == "a"; }));
    CHECK_TRUE(std::ranges::any_of(changes, [](const PublishedChange &change) { return !change.removed && change.key == "c"; }));
}

// Guards against nodes that get the whole state for each change.
TEST(PublishedFeed, ANodeGetsOnlyTheChangesThatItLacks)
{
    feed.replaceAll({item("a", 1), item("b", 2), item("c", 3)}, 5);
    feed.applyChanges({item("d", 6), removal("a", 7)}, 8);

    const FeedUpdate update = feed.updateSince(5);

    CHECK_FALSE(update.whole);
    LONGS_EQUAL(2, update.changes.size());
    LONGS_EQUAL(8, update.to);
    LONGS_EQUAL(0, feed.updateSince(8).changes.size());
    CHECK_TRUE(feed.updateSince(4).whole);
}

// Guards against an update that leaves a gap: it would make the state look complete.
TEST(PublishedFeed, AnUpdateThatBeginsLaterIsIgnored)
{
    feed.replaceAll({item("a", 1)}, 5);

    LONGS_EQUAL(0, feed.merge({.from = 7, .to = 9, .changes = {item("b", 8)}}).size());

    LONGS_EQUAL(5, feed.completeRevision());
}

// Guards against nodes that differ in the end although they exchanged all updates, with any order of sources and a short memory.
TEST(PublishedFeed, NodesAgreeWithTheSourceAfterAnyExchange)
{
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<PublishedFeed> nodes(4, PublishedFeed(4));
        std::map<std::string, PublishedChange> source;
        std::vector<PublishedChange> history;
        history.reserve(200);
        std::uint64_t revision = 1;
        for (int step = 0; step < 200; ++step) {
            PublishedFeed &node = nodes[random() % nodes.size()];
            switch (random() % 4) {
            case 0: {
                const std::string key = "k" + std::to_string(random() % 6);
                ++revision;
                if (random() % 2 == 0 && source.erase(key) > 0) {
                    history.push_back({.key = key, .revision = revision, .removed = true});
                } else {
                    source[key] = {.key = key, .creationRevision = revision, .revision = revision};
                    history.push_back(source[key]);
                }
                break;
            }
            case 1: {
                node.replaceAll(valuesOf(source), revision);
                break;
            }
            case 2: {
                std::vector<PublishedChange> later;
                std::ranges::copy_if(history, std::back_inserter(later),
                                     [&](const PublishedChange &change) { return change.revision > node.completeRevision(); });
                if (node.completeRevision() > 0) {
                    node.applyChanges(later, revision);
                }
                break;
            }
            default:
                node.merge(nodes[random() % nodes.size()].updateSince(node.completeRevision()));
            }
        }
        nodes[0].replaceAll(valuesOf(source), revision);
        for (PublishedFeed &node : nodes) {
            node.merge(nodes[0].updateSince(node.completeRevision()));
            STRCMP_EQUAL_TEXT(keysOf(nodes[0]).c_str(), keysOf(node).c_str(), ("seed " + std::to_string(seed)).c_str());
            LONGS_EQUAL(source.size(), node.content().size());
        }
    }
}

TEST_GROUP(ReaderRanking){};

// Guards against readers that change for most nodes when one instance joins or leaves.
TEST(ReaderRanking, ANodeThatLeavesKeepsTheOrderOfTheOthers)
{
    std::vector<ReaderCandidate> candidates;
    candidates.reserve(20);
    for (int number = 0; number < 20; ++number) {
        candidates.push_back({.id = "i-" + std::to_string(number), .peerAddress = "10.0.0." + std::to_string(number) + ":1"});
    }
    std::vector<std::string> all = rankReaders(candidates);
    const std::string left = candidates.at(7).peerAddress;
    candidates.erase(candidates.begin() + 7);

    std::erase(all, left);

    CHECK_TRUE(all == rankReaders(candidates));
}
