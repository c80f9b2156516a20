#include "core/base/manualclock.h"
#include "core/relay/instancedirectory.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

TEST_GROUP(InstanceDirectory)
{
    ManualClock clock;
    InstanceDirectory directory{InstanceDirectoryOptions{}, clock};

    static Instance instance(const char *id, const char *service, const char *address, std::uint64_t listRevision = 1)
    {
        return {.id = id, .service = ServiceId(service), .address = address, .slots = 4, .listRevision = listRevision};
    }

    // Advances the clock in steps of a tick.
    void advance(Duration time)
    {
        for (Duration elapsed(0); elapsed < time; elapsed += 100ms) {
            clock.advance(100ms);
            directory.tick();
        }
    }
};

TEST(InstanceDirectory, ARemovalTakesEffectAtOnceWhileTheListIsReadable)
{
    directory.insertOrReplace(instance("a", "shop", "1:1"));

    directory.remove("a");

    CHECK(directory.instancesOf(ServiceId("shop")).empty());
}

TEST(InstanceDirectory, RemovalsAfterAnOutageAreHeldBackUntilLiveInstancesAreListedAgain)
{
    directory.insertOrReplace(instance("alive", "shop", "1:1"));
    directory.insertOrReplace(instance("dead", "shop", "2:1"));
    directory.onSourceLost(clock.now());
    advance(5s);
    directory.onSourceRestored();

    directory.replaceAll({});
    advance(1s);
    LONGS_EQUAL(2, directory.instancesOf(ServiceId("shop")).size());
    directory.insertOrReplace(instance("alive", "shop", "1:1", 9));
    advance(2s);

    LONGS_EQUAL(1, directory.instancesOf(ServiceId("shop")).size());
    STRCMP_EQUAL("alive", directory.instancesOf(ServiceId("shop"))[0].id.c_str());
}

TEST(InstanceDirectory, ARemovalAfterOneFailedReadIsNotHeldBack)
{
    directory.insertOrReplace(instance("a", "shop", "1:1"));
    directory.onSourceLost(clock.now());
    advance(400ms);
    directory.onSourceRestored();

    directory.remove("a");

    CHECK(directory.instancesOf(ServiceId("shop")).empty());
}

TEST(InstanceDirectory, TheRemovalOfADrainingInstanceIsNotHeldBackAfterAnOutage)
{
    Instance leaving = instance("a", "shop", "1:1");
    leaving.draining = true;
    directory.insertOrReplace(leaving);
    directory.onSourceLost(clock.now());
    advance(5s);
    directory.onSourceRestored();

    directory.replaceAll({});

    CHECK(directory.instancesOf(ServiceId("shop")).empty());
}

TEST(InstanceDirectory, AReusedAddressBelongsToTheInstanceWithTheHigherRevision)
{
    directory.insertOrReplace(instance("old", "shop", "1:1", 5));

    directory.insertOrReplace(instance("new", "workshop", "1:1", 8));

    CHECK(directory.instancesOf(ServiceId("shop")).empty());
    STRCMP_EQUAL("new", directory.findByAddress("1:1")->id.c_str());
}

TEST(InstanceDirectory, AnOutdatedEntryDoesNotReplaceTheCurrentInstanceAtItsAddress)
{
    directory.replaceAll({instance("a-new", "shop", "1:1", 8), instance("b-old", "shop", "1:1", 5)});

    LONGS_EQUAL(1, directory.instancesOf(ServiceId("shop")).size());
    STRCMP_EQUAL("a-new", directory.findByAddress("1:1")->id.c_str());
}

TEST(InstanceDirectory, AnInstanceThatChangesItsServiceIsRemovedFromTheOldOne)
{
    directory.insertOrReplace(instance("a", "shop", "1:1"));

    directory.insertOrReplace(instance("a", "workshop", "1:1"));

    CHECK(directory.instancesOf(ServiceId("shop")).empty());
    LONGS_EQUAL(1, directory.instancesOf(ServiceId("workshop")).size());
    LONGS_EQUAL(1, directory.size());
}
