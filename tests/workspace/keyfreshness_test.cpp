#include "core/base/manualclock.h"
#include "core/workspace/keyfreshness.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

TEST_GROUP(KeyFreshness)
{
    ManualClock clock;
    KeyFreshness freshness{5s, clock};

    bool admits() const
    {
        return std::holds_alternative<Admit>(freshness.check());
    }
};

// Guards against a withdrawn key that a node without contact to the source, or one that was suspended, accepts beyond the bound.
TEST(KeyFreshness, KeysAreRefusedOnceTheProofIsOlderThanTheBound)
{
    CHECK_FALSE(admits());
    const TimePoint askedAt = clock.now();
    clock.advance(2s);
    freshness.confirm(askedAt);

    clock.advance(3s);
    CHECK(admits());
    clock.advance(1ms);

    CHECK_FALSE(admits());
    LONGS_EQUAL(503, std::get<Refuse>(freshness.check()).status);
}

TEST(KeyFreshness, AnOlderProofDoesNotReplaceANewerOne)
{
    freshness.confirm(clock.now());
    freshness.confirm(clock.now() - 4s);
    clock.advance(5s);

    CHECK(admits());
}

// Guards against keys that are accepted after a configuration that may withdraw them could not be read.
TEST(KeyFreshness, NothingIsProvedAfterAConfigurationThatCannotBeUsed)
{
    freshness.confirm(clock.now());
    freshness.invalidate();

    CHECK_FALSE(admits());
}
