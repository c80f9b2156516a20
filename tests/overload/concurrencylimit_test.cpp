#include "core/base/manualclock.h"
#include "core/overload/concurrencylimit.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using std::chrono::milliseconds;

namespace {

constexpr unsigned Slots = 20;

// Keeps a server full: each call takes the time that `time` gives for the limit in force.
class FullServer
{
public:
    explicit FullServer(ConcurrencyLimitOptions options) : limit(options, m_clock)
    {
        limit.setSlots(Slots, 1);
    }

    void run(unsigned calls, const std::function<Duration(unsigned)> &time)
    {
        for (unsigned call = 0; call < calls; ++call) {
            const unsigned running = limit.limit();
            const Duration took = time(running);
            m_clock.advance(took / running);
            limit.finished(0, took, CallOutcome::Completed, running, m_clock.now() - took);
        }
    }

    // The same, with calls that wait for calls below for the rest of the time in which they hold their slots.
    void runWaiting(unsigned calls, Duration held, Duration ownTime)
    {
        for (unsigned call = 0; call < calls; ++call) {
            const unsigned running = limit.limit();
            m_clock.advance(held / running);
            limit.finished(0, ownTime, CallOutcome::Completed, running, m_clock.now() - held);
        }
    }

    void hint(unsigned reads, unsigned running)
    {
        for (unsigned read = 0; read < reads; ++read) {
            limit.hint(running, Slots, limit.limit());
        }
    }

private:
    ManualClock m_clock;

public:
    ConcurrencyLimit limit;
};

Duration constantTime(unsigned /*running*/)
{
    return milliseconds(20);
}

// Beyond five calls the server works no faster, so that calls take longer.
Duration contendedTime(unsigned running)
{
    return running <= 5 ? Duration(milliseconds(20)) : Duration(milliseconds(4) * running * running / 5);
}

} // namespace

TEST_GROUP(ConcurrencyLimit){};

// Guards against overload of a server that has just started.
TEST(ConcurrencyLimit, startsLowAndGrowsToTheSlots)
{
    FullServer server({});
    CHECK(server.limit.limit() < Slots / 4);
    server.run(2000, constantTime);
    LONGS_EQUAL(Slots, server.limit.limit());

    FullServer without({.slowStart = false});
    LONGS_EQUAL(Slots, without.limit.limit());
}

// Guards against a cold service high up in a chain that sheds calls because its slots are held by calls that wait for services below.
TEST(ConcurrencyLimit, countsOnlyWorkingCallsOfAColdServer)
{
    FullServer waiting({});
    waiting.runWaiting(8, milliseconds(200), milliseconds(10));
    LONGS_EQUAL(Slots, waiting.limit.limit());

    FullServer working({});
    working.runWaiting(8, milliseconds(200), milliseconds(200));
    CHECK(working.limit.limit() < Slots / 2);
}

// Guards against too many slots in the questionnaire. Without learning the limit stays at the slots.
TEST(ConcurrencyLimit, findsTheConcurrencyThatTheServerBears)
{
    FullServer server({});
    server.run(5000, contendedTime);
    CHECK(server.limit.limit() <= 10);

    FullServer without({.adaptive = false});
    without.run(5000, contendedTime);
    LONGS_EQUAL(Slots, without.limit.limit());
}

// Guards against a loss of throughput on top of the slowness, when a server is slow for a reason other than concurrency.
TEST(ConcurrencyLimit, keepsTheSlotsOfAServerThatIsSlowForAnotherReason)
{
    FullServer server({});
    server.run(2000, constantTime);

    server.run(2000, [](unsigned) { return Duration(milliseconds(200)); });

    CHECK(server.limit.limit() >= Slots * 9 / 10);
}

// Guards against a load endpoint that reports full while latency is at its floor. Without the check the limit falls.
TEST(ConcurrencyLimit, ignoresAHintOfFullSlotsAtTheLatencyFloor)
{
    for (const bool checked : {true, false}) {
        FullServer server({.hintChecked = checked});
        server.run(2000, constantTime);
        server.hint(20, Slots);
        LONGS_EQUAL(checked ? 1 : 0, server.limit.limit() == Slots ? 1 : 0);
    }
}

// Guards against a load endpoint that reports idle while latency grows. Without the check the limit returns to the slots.
TEST(ConcurrencyLimit, ignoresAHintOfIdlenessWhileLatencyGrows)
{
    for (const bool checked : {true, false}) {
        FullServer server({.hintChecked = checked});
        server.run(5000, contendedTime);
        server.hint(1, 0);
        LONGS_EQUAL(checked ? 1 : 0, server.limit.limit() <= 10 ? 1 : 0);
    }
}

// Guards against a trial that looks confirmed because the latency floor was given up during it, so that a server that is slow for another
// reason keeps half of its slots: the trial of this test outlasts the memory of the floor.
TEST(ConcurrencyLimit, keepsTheFloorDuringATrial)
{
    FullServer server({});
    server.run(2000, constantTime);

    server.run(200, [](unsigned) { return Duration(std::chrono::seconds(2)); });

    CHECK(server.limit.limit() >= Slots * 9 / 10);
}

// Guards against slow growth of the limit once a server is fast again. Without the option the limit grows by one in each window.
TEST(ConcurrencyLimit, findsTheSlotsAgainSoonAfterTheServerHasBecomeFast)
{
    for (const bool enabled : {true, false}) {
        FullServer server({.fastRegrowth = enabled});
        server.run(5000, [](unsigned running) { return contendedTime(running) * 10; });
        CHECK(server.limit.limit() <= 10);

        server.run(200, constantTime);

        CHECK((server.limit.limit() == Slots) == enabled);
    }
}
