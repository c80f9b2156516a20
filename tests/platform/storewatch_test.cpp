#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fakestore.h"
#include "platform/storewatch.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::platform;
using namespace std::chrono_literals;

namespace {

// Only a test that fails waits for so long.
constexpr std::chrono::seconds LongestTest{20};
constexpr const char *EncodedOne = "b25l";
constexpr const char *EncodedTwo = "dHdv";

} // namespace

TEST_GROUP(StoreWatch)
{
    asio::io_context context{1};
    FakeStore store{context};
    StoreClient client{context, store.address()};
    RandomEngine random{1};
    std::map<std::string, std::string> known;
    std::vector<std::string> unreadable;
    unsigned reads = 0;
    unsigned losses = 0;
    unsigned restored = 0;
    StoreWatch watch{context, client, "servers/", handler(), random};

    StoreWatchHandler handler()
    {
        StoreWatchHandler handler;
        handler.replaced = [this](const std::vector<StoreItem> &items) {
            ++reads;
            known.clear();
            for (const StoreItem &item : items) {
                known[item.key] = item.value;
            }
        };
        handler.written = [this](const StoreItem &item) {
            known[item.key] = item.value;
        };
        handler.removed = [this](const std::string &key) {
            known.erase(key);
        };
        handler.unreadable = [this](const std::string &key) {
            unreadable.push_back(key);
        };
        handler.lost = [this](const std::string &) {
            ++losses;
        };
        handler.restored = [this] {
            ++restored;
        };
        return handler;
    }

    bool runUntil(const std::function<bool()> &reached)
    {
        const auto end = std::chrono::steady_clock::now() + LongestTest;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(100ms);
        }
        return reached();
    }
};

TEST(StoreWatch, AListOfSeveralPagesIsPassedOnAsOne)
{
    for (const char *key : {"servers/a", "servers/b", "servers/c", "servers/d", "servers/e"}) {
        store.put(key, EncodedOne);
    }

    watch.start();

    CHECK(runUntil([this] { return reads > 0; }));
    LONGS_EQUAL(1, reads);
    LONGS_EQUAL(5, known.size());
    STRCMP_EQUAL("one", known["servers/e"].c_str());
}

TEST(StoreWatch, ChangesAfterTheReadArrive)
{
    store.put("servers/a", EncodedOne);
    watch.start();
    CHECK(runUntil([this] { return store.calls == 2; }));

    store.put("servers/b", EncodedTwo);
    CHECK(runUntil([this] { return known.contains("servers/b"); }));
    store.remove("servers/a");

    CHECK(runUntil([this] { return !known.contains("servers/a"); }));
    STRCMP_EQUAL("two", known["servers/b"].c_str());
    LONGS_EQUAL(1, reads);
}

TEST(StoreWatch, AChangeBetweenTwoPagesIsNotLost)
{
    for (const char *key : {"servers/b", "servers/c", "servers/d"}) {
        store.put(key, EncodedOne);
    }
    store.afterPage = [this] {
        store.put("servers/a", EncodedTwo);
    };

    watch.start();

    CHECK(runUntil([this] { return known.contains("servers/a"); }));
    LONGS_EQUAL(4, known.size());
}

TEST(StoreWatch, AForgottenHistoryLeadsToANewRead)
{
    store.put("servers/a", EncodedOne);
    watch.start();
    CHECK(runUntil([this] { return reads == 1; }));

    store.remove("servers/a");
    store.put("servers/b", EncodedTwo);
    store.forgetHistory();
    store.failures = {410};
    store.put("servers/c", EncodedTwo);

    CHECK(runUntil([this] { return reads == 2; }));
    CHECK_FALSE(known.contains("servers/a"));
    LONGS_EQUAL(2, known.size());
}

TEST(StoreWatch, AStoreThatRefusesIsAskedAgainUntilItAnswers)
{
    store.put("servers/a", EncodedOne);
    store.failures = {429, 503, 429};

    watch.start();

    CHECK(runUntil([this] { return reads == 1; }));
    LONGS_EQUAL(3, losses);
    CHECK(restored >= 1);
    LONGS_EQUAL(1, known.size());
}

TEST(StoreWatch, AFailedWatchGoesOnWhereItWasWithoutReadingAll)
{
    store.put("servers/a", EncodedOne);
    store.failures.clear();
    watch.start();
    CHECK(runUntil([this] { return store.calls == 2; }));
    store.failures = {503, 503};
    store.put("servers/b", EncodedOne);
    CHECK(runUntil([this] { return store.failures.empty(); }));

    store.put("servers/c", EncodedOne);

    CHECK(runUntil([this] { return known.contains("servers/c"); }));
    LONGS_EQUAL(1, reads);
    LONGS_EQUAL(2, losses);
    LONGS_EQUAL(3, known.size());
}

TEST(StoreWatch, AnUnreadableValueIsReportedAndHidesNoOther)
{
    store.put("servers/a", "%%%");
    store.put("servers/b", EncodedOne);

    watch.start();

    CHECK(runUntil([this] { return reads == 1; }));
    LONGS_EQUAL(1, known.size());
    LONGS_EQUAL(1, unreadable.size());
    STRCMP_EQUAL("servers/a", unreadable.front().c_str());
}
