#include "core/base/manualclock.h"
#include "core/overload/arrivalspread.h"
#include "core/overload/levelcontroller.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace wisteriafork;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double Capacity = 100.0;
constexpr std::uint64_t HashStep = 0x9e3779b97f4a7c15ULL;

// A server with a queue and callers that send each refused read again after 100 ms, until 10 s after its first send.
class ResendingCallers
{
public:
    explicit ResendingCallers(LevelControllerOptions options) : m_controller(options, m_clock)
    {
    }

    // Fresh reads per second for some time; returns the longest queue, in calls.
    double run(double rate, Duration length)
    {
        double longest = 0.0;
        for (const TimePoint end = m_clock.now() + length; m_clock.now() < end;) {
            m_clock.advance(milliseconds(50));
            for (m_due += rate * 0.05; m_due >= 1.0; m_due -= 1.0) {
                m_waiting.push_back({.hash = ++m_requests * HashStep, .firstSent = m_clock.now(), .nextSend = m_clock.now()});
            }
            sendWaiting();
            m_queue = std::max(0.0, m_queue - Capacity * 0.05);
            longest = std::max(longest, m_queue);
            m_controller.update(m_queue, 0.0, Capacity);
        }
        return longest;
    }

    double scale() const
    {
        return m_controller.scale();
    }

private:
    struct Request
    {
        std::uint64_t hash = 0;
        TimePoint firstSent;
        TimePoint nextSend;
    };

    void sendWaiting()
    {
        const TimePoint now = m_clock.now();
        std::erase_if(m_waiting, [&](Request &request) {
            if (request.nextSend > now) {
                return false;
            }
            request.nextSend = now + milliseconds(100);
            if (!admits(m_controller.scale(), CallClass::Read, request.hash)) {
                return now - request.firstSent > seconds(10);
            }
            m_controller.arrived(CallClass::Read, request.hash);
            m_queue += 1.0;
            return true;
        });
    }

    ManualClock m_clock;
    LevelController m_controller;
    std::vector<Request> m_waiting;
    std::uint64_t m_requests = 0;
    double m_due = 0.0;
    double m_queue = 0.0;
};

} // namespace

TEST_GROUP(LevelController){};

// Guards against an opening that lets in the stock of resends at once after an overload: calls would wait long after it has ended. Without
// the reduced utilisation and the bounded speed the queue grows.
TEST(LevelController, opensAfterAnOverloadWithoutALongQueue)
{
    for (const bool paced : {true, false}) {
        LevelControllerOptions options;
        if (!paced) {
            options.recoveryUtilisation = 1.5;
            options.holdSpeed = 1000.0;
            options.firstSpeed = 100.0;
        }
        ResendingCallers callers(options);
        callers.run(3 * Capacity, seconds(20));
        CHECK_TRUE(callers.scale() < 2 * CutsPerClass);
        callers.run(0.5 * Capacity, seconds(1));

        const double queue = callers.run(0.5 * Capacity, seconds(9));

        // 100 ms of queueing is what the controller keeps during an overload.
        CHECK_EQUAL(paced, queue <= Capacity * 0.1);
    }
}

// Guards against a level that stays closed when nothing is left to be let in.
TEST(LevelController, opensCompletelyWhenTheResendsHaveEnded)
{
    ResendingCallers callers({});
    callers.run(3 * Capacity, seconds(20));

    callers.run(0.5 * Capacity, seconds(30));

    DOUBLES_EQUAL(FullScale, callers.scale(), 1.0);
}

// Guards against an instance whose level is far above that of the others: the edges average, so it does not see what it admits, and opens
// for ever. Without the gain it stays there.
TEST(LevelController, followsTheLevelThatTheEdgesApply)
{
    for (const double gain : {0.5, 0.0}) {
        ManualClock clock;
        LevelController controller({.firstRise = 0.0, .largestRise = 0.0, .idleGain = 0.0, .spreadGain = gain}, clock);
        controller.tighten(2.5 * CutsPerClass);
        // Twice the capacity arrives, up to a cut of 64 of the reads, and critical calls.
        std::uint64_t request = 0;
        for (int window = 0; window < 200; ++window) {
            clock.advance(milliseconds(50));
            for (int call = 0; call < 10; ++call) {
                const std::uint64_t hash = ++request * HashStep;
                controller.arrived(call % 2 == 0 ? CallClass::Critical : CallClass::Read, call % 2 == 0 ? hash : hash / 4);
            }
            controller.update(Capacity * 0.06, 0.0, Capacity * 1.9);
        }
        const bool near = controller.scale() < 1.25 * CutsPerClass + 32.0;
        CHECK_EQUAL(gain > 0.0, near);
    }
}

TEST_GROUP(ArrivalSpread){};

// Guards against a cut that is read from a few calls: probes arrive beyond the level of the edges.
TEST(ArrivalSpread, tellsTheCutFromManyCallsOnly)
{
    ArrivalSpread spread;
    for (std::uint64_t request = 1; request <= 200; ++request) {
        spread.arrived(CallClass::Critical, request * HashStep);
        spread.arrived(CallClass::Read, request * HashStep / 2);
        if (request == 5) {
            CHECK_FALSE(spread.scale().has_value());
        }
    }

    DOUBLES_EQUAL(1.5 * CutsPerClass, spread.scale().value_or(0.0), 10.0);
}

// Guards against a class that counts as cut by chance: the level would fall although all calls are admitted.
TEST(ArrivalSpread, tellsNoCutWhereAllCallsAreAdmitted)
{
    ArrivalSpread spread;
    for (std::uint64_t request = 1; request <= 200; ++request) {
        spread.arrived(CallClass::Critical, request * HashStep);
        spread.arrived(CallClass::Read, request * HashStep);

        CHECK_FALSE(spread.scale().has_value());
    }
}
