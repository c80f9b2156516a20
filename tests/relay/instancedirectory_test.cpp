#include "core/base/manualclock.h"
#include "core/relay/instancedirectory.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

TEST_GROUP(InstanceDirectory)
{
    ManualClock clock;
    InstanceDirectory directory{InstanceDirectoryOptions{}, clock};

    static Instance instance(const char *id, const char *service, const char *address, std::uint64_t listed = 1)
    {
        return {.id = id, .service = ServiceId(service), .address = address, .slots = 4, .listed = listed};
    }

    void pass(Duration time)
    {
        for (Duration passed(0); passed < time; passed += 100ms) {
            clock.advance(100ms);
            directory.tick();
        }
    }
};

TEST(InstanceDirectory, ARemovedInstanceIsGoneAtOnceWhileTheListIsReadable)
{
    directory.put(instance("a", "shop", "1:1"));

    directory.remove("a");

    CHECK(directory.of(ServiceId("shop")).empty());
}

TEST(InstanceDirectory, EntriesThatLapseDuringAnOutageAreKeptUntilLiveOnesAreListedAgain)
{
    directory.put(instance("alive", "shop", "1:1"));
    directory.put(instance("dead", "shop", "2:1"));
    directory.sourceLost(clock.now());
    pass(5s);
    directory.sourceRestored();

    directory.replaceAll({});
    pass(1s);
    LONGS_EQUAL(2, directory.of(ServiceId("shop")).size());
    directory.put(instance("alive", "shop", "1:1", 9));
    pass(2s);

    LONGS_EQUAL(1, directory.of(ServiceId("shop")).size());
    STRCMP_EQUAL("alive", directory.of(ServiceId("shop"))[0].id.c_str());
}

TEST(InstanceDirectory, ARemovalAfterOneFailedCallIsNotTakenForALapse)
{
    directory.put(instance("a", "shop", "1:1"));
    directory.sourceLost(clock.now());
    pass(400ms);
    directory.sourceRestored();

    directory.remove("a");

    CHECK(directory.of(ServiceId("shop")).empty());
}

TEST(InstanceDirectory, AnInstanceThatSaidItLeavesIsNotKeptAfterAnOutage)
{
    Instance leaving = instance("a", "shop", "1:1");
    leaving.draining = true;
    directory.put(leaving);
    directory.sourceLost(clock.now());
    pass(5s);
    directory.sourceRestored();

    directory.replaceAll({});

    CHECK(directory.of(ServiceId("shop")).empty());
}

TEST(InstanceDirectory, AnAddressThatIsUsedAgainBelongsToTheLaterInstance)
{
    directory.put(instance("old", "shop", "1:1", 5));

    directory.put(instance("new", "workshop", "1:1", 8));

    CHECK(directory.of(ServiceId("shop")).empty());
    STRCMP_EQUAL("new", directory.atAddress("1:1")->id.c_str());
}

TEST(InstanceDirectory, AnOldEntryReadLaterDoesNotReplaceTheLaterInstanceAtItsAddress)
{
    directory.replaceAll({instance("a-new", "shop", "1:1", 8), instance("b-old", "shop", "1:1", 5)});

    LONGS_EQUAL(1, directory.of(ServiceId("shop")).size());
    STRCMP_EQUAL("a-new", directory.atAddress("1:1")->id.c_str());
}

TEST(InstanceDirectory, AnInstanceThatChangesItsServiceLeavesTheOldOne)
{
    directory.put(instance("a", "shop", "1:1"));

    directory.put(instance("a", "workshop", "1:1"));

    CHECK(directory.of(ServiceId("shop")).empty());
    LONGS_EQUAL(1, directory.of(ServiceId("workshop")).size());
    LONGS_EQUAL(1, directory.size());
}
