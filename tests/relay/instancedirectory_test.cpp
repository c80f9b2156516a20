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

// Guards against an instance that is no longer found under its address after it has changed its service.
TEST(InstanceDirectory, AnInstanceThatChangesItsServiceKeepsItsAddress)
{
    directory.insertOrReplace(instance("a", "shop", "1:1"));

    directory.insertOrReplace(instance("a", "workshop", "1:1"));

    CHECK(directory.findByAddress("1:1") != nullptr);
}

// Guards against an instance that stays known under an address that it has left.
TEST(InstanceDirectory, AnInstanceThatMovesIsFoundUnderItsNewAddressOnly)
{
    directory.insertOrReplace(instance("a", "shop", "1:1"));

    directory.insertOrReplace(instance("a", "shop", "2:1"));

    CHECK(directory.findByAddress("1:1") == nullptr);
    STRCMP_EQUAL("a", directory.findByAddress("2:1")->id.c_str());
}

// Guards against an entry of another writer, with a service that no route names, that takes the place of the instance at its address.
TEST(InstanceDirectory, AnEntryOfAnUnknownServiceDisplacesNoInstance)
{
    directory.setServices({ServiceId("shop")});
    directory.insertOrReplace(instance("a", "shop", "1:1", 5));

    directory.insertOrReplace(instance("odd", "cellar", "1:1", 9));

    LONGS_EQUAL(1, directory.instancesOf(ServiceId("shop")).size());
    STRCMP_EQUAL("a", directory.findByAddress("1:1")->id.c_str());
}

// Guards against a sound instance that stays unknown after the entry that took its address has gone: the list reports no change for it.
TEST(InstanceDirectory, AnInstanceIsUsedAgainWhenTheEntryThatDisplacedItIsRemoved)
{
    directory.insertOrReplace(instance("sound", "shop", "1:1", 5));
    directory.insertOrReplace(instance("foreign", "shop", "1:1", 9));
    STRCMP_EQUAL("foreign", directory.findByAddress("1:1")->id.c_str());

    directory.remove("foreign");

    LONGS_EQUAL(1, directory.instancesOf(ServiceId("shop")).size());
    const Instance *current = directory.findByAddress("1:1");
    STRCMP_EQUAL("sound", current == nullptr ? "none" : current->id.c_str());
}

// Guards against an instance that has left and is used again because the one that took its address has left too.
TEST(InstanceDirectory, ADisplacedInstanceThatIsRemovedDoesNotComeBack)
{
    directory.insertOrReplace(instance("left", "shop", "1:1", 5));
    directory.insertOrReplace(instance("new", "shop", "1:1", 9));

    directory.remove("left");
    directory.remove("new");
    directory.insertOrReplace(instance("gone", "shop", "2:1", 10));
    directory.insertOrReplace(instance("newer", "shop", "2:1", 11));
    directory.replaceAll({});

    LONGS_EQUAL(0, directory.size());
    CHECK(directory.findByAddress("1:1") == nullptr);
}

TEST(InstanceDirectory, ARemovedInstanceIsRememberedUntilItIsListedAgain)
{
    directory.insertOrReplace(instance("a", "shop", "1:1"));
    directory.remove("a");
    CHECK(directory.wasRemoved("a"));
    CHECK_FALSE(directory.wasRemoved("never-listed"));

    directory.insertOrReplace(instance("a", "shop", "1:1", 7));

    CHECK_FALSE(directory.wasRemoved("a"));
}

// Guards against removals that take effect at once on a node that has not noticed an outage of the list itself.
TEST(InstanceDirectory, RemovalsAreHeldBackForTheOutageThatAnotherNodeReports)
{
    directory.insertOrReplace(instance("a", "shop", "1:1"));

    directory.holdRemovals(1500ms);
    directory.remove("a");

    advance(1s);
    LONGS_EQUAL(1, directory.size());
    advance(1s);
    LONGS_EQUAL(0, directory.size());
}
