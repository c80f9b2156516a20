#include "fleet.h"
#include "schedulecheck.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::test;

namespace {

// True if some schedule breaks a rule when the mechanism is off.
bool breaksWithout(bool OwnershipMechanisms::*mechanism, std::uint64_t seed)
{
    OwnershipMechanisms mechanisms;
    mechanisms.*mechanism = false;
    const std::string broken = findViolation(seed, 5000, [&mechanisms](const Schedule &schedule) {
        Fleet fleet(schedule, mechanisms);
        fleet.settle();
        fleet.play();
        fleet.keysWithoutAnswer();
        return fleet.judge().verdict();
    });
    return !broken.empty();
}

} // namespace

// Each test shows that the check of the at-most-once rules turns red when one mechanism is off, so that it can find its failure.
TEST_GROUP(Mechanisms){};

TEST(Mechanisms, keysRunTwiceWithoutClaims)
{
    CHECK_TRUE(breaksWithout(&OwnershipMechanisms::claimAtWitness, 1));
}

TEST(Mechanisms, keysRunTwiceWhenOneWitnessSufficesForAFence)
{
    CHECK_TRUE(breaksWithout(&OwnershipMechanisms::fenceAtAllWitnesses, 2));
}

TEST(Mechanisms, keysRunTwiceWithoutJoinAcknowledgements)
{
    CHECK_TRUE(breaksWithout(&OwnershipMechanisms::joinAcknowledgement, 3));
}

TEST(Mechanisms, keysRunTwiceWithoutTheColdStartWait)
{
    CHECK_TRUE(breaksWithout(&OwnershipMechanisms::coldStartWait, 4));
}

TEST(Mechanisms, keysRunTwiceWithShortRetention)
{
    CHECK_TRUE(breaksWithout(&OwnershipMechanisms::retention, 5));
}

TEST(Mechanisms, lateCopiesRunWithoutTheSettleTime)
{
    CHECK_TRUE(breaksWithout(&OwnershipMechanisms::settleTime, 6));
}

TEST(Mechanisms, lateCopiesRunWithoutTheCopyCheck)
{
    CHECK_TRUE(breaksWithout(&OwnershipMechanisms::copyCheck, 7));
}

TEST(Mechanisms, keysRunTwiceWithoutTheHandoverAtRelease)
{
    CHECK_TRUE(breaksWithout(&OwnershipMechanisms::releaseHandover, 8));
}

TEST(Mechanisms, keysRunTwiceWhenAChangeOfWitnessesForgetsClaims)
{
    CHECK_TRUE(breaksWithout(&OwnershipMechanisms::reclaimOnNewTerm, 10));
}
