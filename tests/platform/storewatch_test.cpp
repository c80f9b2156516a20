#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/base/manualclock.h"
#include "fakestore.h"
#include "platform/storewatch.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::platform;
using namespace std::chrono_literals;

namespace {

// Bounds the duration of failing tests only.
constexpr std::chrono::seconds TestTimeout{20};
constexpr const char *EncodedOne = "b25l";
constexpr const char *EncodedTwo = "dHdv";

} // namespace

TEST_GROUP(StoreWatch)
{
    asio::io_context context{1};
    FakeStore store{context};
    StoreClient client{context, store.address()};
    RandomEngine random{1};
    std::map<std::string, std::string> knownItems;
    std::vector<std::string> undecodableKeys;
    unsigned readCount = 0;
    std::uint64_t lastRevision = 0;
    std::uint64_t lastEra = 0;
    unsigned failureCount = 0;
    unsigned successCount = 0;
    ManualClock clock;
    StoreWatch watch{context, client, "servers/", makeHandler(), clock, random};

    StoreWatchHandler makeHandler()
    {
        StoreWatchHandler handler;
        handler.onItemsRead = [this](const std::vector<PublishedChange> &items, std::uint64_t revision, std::uint64_t era) {
            lastEra = era;
            ++readCount;
            knownItems.clear();
            for (const PublishedChange &item : items) {
                knownItems[item.key] = item.value;
            }
            lastRevision = revision;
        };
        handler.onChanges = [this](const std::vector<PublishedChange> &changes, std::uint64_t revision) {
            for (const PublishedChange &change : changes) {
                if (change.removed) {
                    knownItems.erase(change.key);
                } else {
                    knownItems[change.key] = change.value;
                }
            }
            lastRevision = revision;
        };
        handler.onItemUndecodable = [this](const std::string &key) {
            undecodableKeys.push_back(key);
        };
        handler.onCallFailed = [this](const std::string &) {
            ++failureCount;
        };
        handler.onCallSucceeded = [this] {
            ++successCount;
        };
        return handler;
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + TestTimeout;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            context.run_one_for(100ms);
        }
        return condition();
    }
};

TEST(StoreWatch, AListOfSeveralPagesIsReportedOnce)
{
    for (const char *key : {"servers/a", "servers/b", "servers/c", "servers/d", "servers/e"}) {
        store.putItem(key, EncodedOne);
    }

    watch.start(0);

    CHECK(runUntil([this] { return readCount > 0; }));
    LONGS_EQUAL(1, readCount);
    LONGS_EQUAL(5, knownItems.size());
    STRCMP_EQUAL("one", knownItems["servers/e"].c_str());
}

TEST(StoreWatch, ChangesAfterTheReadAreReported)
{
    store.putItem("servers/a", EncodedOne);
    watch.start(0);
    CHECK(runUntil([this] { return store.requestCount == 2; }));

    store.putItem("servers/b", EncodedTwo);
    CHECK(runUntil([this] { return knownItems.contains("servers/b"); }));
    store.removeItem("servers/a");

    CHECK(runUntil([this] { return !knownItems.contains("servers/a"); }));
    STRCMP_EQUAL("two", knownItems["servers/b"].c_str());
    LONGS_EQUAL(1, readCount);
}

TEST(StoreWatch, AChangeBetweenTwoPagesIsNotLost)
{
    for (const char *key : {"servers/b", "servers/c", "servers/d"}) {
        store.putItem(key, EncodedOne);
    }
    store.onPageSent = [this] {
        store.putItem("servers/a", EncodedTwo);
    };

    watch.start(0);

    CHECK(runUntil([this] { return knownItems.contains("servers/a"); }));
    LONGS_EQUAL(4, knownItems.size());
}

TEST(StoreWatch, ALostHistoryCausesANewRead)
{
    store.putItem("servers/a", EncodedOne);
    watch.start(0);
    CHECK(runUntil([this] { return readCount == 1; }));

    store.removeItem("servers/a");
    store.putItem("servers/b", EncodedTwo);
    store.discardHistory();
    store.failureStatuses = {410};
    store.putItem("servers/c", EncodedTwo);

    CHECK(runUntil([this] { return readCount == 2; }));
    CHECK_FALSE(knownItems.contains("servers/a"));
    LONGS_EQUAL(2, knownItems.size());
}

TEST(StoreWatch, FailedReadsAreRepeatedUntilTheStoreResponds)
{
    store.putItem("servers/a", EncodedOne);
    store.failureStatuses = {429, 503, 429};

    watch.start(0);

    CHECK(runUntil([this] { return readCount == 1; }));
    LONGS_EQUAL(3, failureCount);
    CHECK(successCount >= 1);
    LONGS_EQUAL(1, knownItems.size());
}

TEST(StoreWatch, AFailedWatchResumesWithoutANewRead)
{
    store.putItem("servers/a", EncodedOne);
    store.failureStatuses.clear();
    watch.start(0);
    CHECK(runUntil([this] { return store.requestCount == 2; }));
    store.failureStatuses = {503, 503};
    store.putItem("servers/b", EncodedOne);
    CHECK(runUntil([this] { return store.failureStatuses.empty(); }));

    store.putItem("servers/c", EncodedOne);

    CHECK(runUntil([this] { return knownItems.contains("servers/c"); }));
    LONGS_EQUAL(1, readCount);
    LONGS_EQUAL(2, failureCount);
    LONGS_EQUAL(3, knownItems.size());
}

TEST(StoreWatch, AnUndecodableValueIsReportedAndOthersAreRead)
{
    store.putItem("servers/a", "%%%");
    store.putItem("servers/b", EncodedOne);

    watch.start(0);

    CHECK(runUntil([this] { return readCount == 1; }));
    LONGS_EQUAL(1, knownItems.size());
    LONGS_EQUAL(1, undecodableKeys.size());
    STRCMP_EQUAL("servers/a", undecodableKeys.front().c_str());
}

// Guards against a whole read each time a node begins to read the store although it knows the state from another node.
TEST(StoreWatch, AWatchContinuesFromAKnownRevision)
{
    store.putItem("servers/a", EncodedOne);
    store.putItem("servers/b", EncodedTwo);

    watch.start(1);

    CHECK(runUntil([this] { return knownItems.contains("servers/b"); }));
    LONGS_EQUAL(0, readCount);
    LONGS_EQUAL(1, knownItems.size());
    LONGS_EQUAL(2, lastRevision);
}

// Guards against results of an earlier run that are passed on after the watch has been stopped.
TEST(StoreWatch, AStoppedWatchReportsNothing)
{
    store.putItem("servers/a", EncodedOne);
    watch.start(0);
    CHECK(runUntil([this] { return store.requestCount == 2; }));

    watch.stop();
    store.putItem("servers/b", EncodedOne);
    context.run_for(300ms);

    LONGS_EQUAL(1, knownItems.size());
    watch.start(lastRevision);
    CHECK(runUntil([this] { return knownItems.contains("servers/b"); }));
}

// Guards against a page that says that more follows and has no key to go on from: it would be asked for without end and without a pause.
TEST(StoreWatch, APageThatDoesNotGetAheadIsAFailedCall)
{
    CHECK_FALSE(decodePage(R"({"items":[{"Value":"YQ=="}],"HasMore":true,"StoreRevision":5})", "").has_value());
    CHECK_FALSE(decodePage(R"({"items":[{"Key":"servers/a","Value":"YQ=="}],"HasMore":true,"StoreRevision":5})", "servers/a").has_value());
    CHECK_FALSE(decodePage(R"({"items":[],"HasMore":true,"StoreRevision":5})", "").has_value());
    CHECK(decodePage(R"({"items":[{"Key":"servers/b","Value":"YQ=="}],"HasMore":true,"StoreRevision":5})", "servers/a").has_value());
}

// Guards against a response of the store that ends the process or the watch: nested too deep, or numbers of other types.
TEST(StoreWatch, OddPagesAreFailedCallsOrOddItems)
{
    CHECK_FALSE(decodePage("{\"items\":" + std::string(100'000, '['), "").has_value());
    CHECK_FALSE(decodePage(R"({"items":[],"StoreRevision":-5})", "").has_value());
    CHECK_FALSE(decodePage(R"({"items":{},"StoreRevision":5})", "").has_value());
    const auto page = decodePage(R"({"items":[7,{"Key":3},{"Key":"servers/a","Value":"YQ==","Revision":"x"}],"StoreRevision":5})", "");
    LONGS_EQUAL(1, page->items.size());
    LONGS_EQUAL(2, page->undecodableKeys.size());
}
