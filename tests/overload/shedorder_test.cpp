#include "callbuilder.h"

#include "core/base/manualclock.h"
#include "core/overload/admissioncontroller.h"
#include "core/overload/admissionlevel.h"
#include "core/overload/edgegate.h"
#include "core/overload/shedsequence.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double ReadsOpen = 400.0;
constexpr double CriticalCut = 100.0;

LoadReport reportOf(double scale)
{
    LoadReport report;
    report.level = fromScale(scale);
    return report;
}

AdmissionOptions fullQueueOptions(bool closureEnabled)
{
    AdmissionOptions options;
    options.limit.slowStart = false;
    options.closure.enabled = closureEnabled;
    options.queueLimit = 4;
    return options;
}

CallDescription makeInternal(CallId id, TimePoint now, Duration remaining)
{
    CallDescription call = makeCall(id, CallClass::Read, now, remaining);
    call.internal = true;
    return call;
}

CallDescription makeBooking(CallId id, TimePoint now)
{
    CallDescription call = makeCall(id, CallClass::Critical, now);
    call.operation = OperationId("book");
    return call;
}

} // namespace

TEST_GROUP(ShedOrder)
{
    ManualClock clock;

    // Critical calls that the edge refuses out of 1000 when the last report came `age` ago.
    unsigned refusedBookings(EdgeGate & gate, Duration age)
    {
        clock.advance(age);
        unsigned refused = 0;
        for (CallId id = 1000; id < 2000; ++id) {
            refused += gate.check(makeBooking(id, clock.now())) ? 1 : 0;
        }
        return refused;
    }

    void learnFor(EdgeGate & gate, double scale, Duration time)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end; clock.advance(milliseconds(100))) {
            gate.learn(makeBooking(1, clock.now()), {}, reportOf(scale), milliseconds(10), false);
        }
        gate.learn(makeBooking(1, clock.now()), {}, reportOf(scale), milliseconds(10), false);
    }
};

// Guards against an instance that cuts critical calls while others still run reads. With the closure off the cut is in force at once.
TEST(ShedOrder, cutsCriticalCallsOnlyAfterReadsWereClosedForTheGraceTime)
{
    for (const bool enabled : {true, false}) {
        ShedSequence sequence({.enabled = enabled}, clock);
        DOUBLES_EQUAL(enabled ? CriticalOnlyScale : CriticalCut, sequence.apply(CriticalCut), 0.0);

        clock.advance(milliseconds(999));
        DOUBLES_EQUAL(enabled ? CriticalOnlyScale : CriticalCut, sequence.apply(CriticalCut), 0.0);

        clock.advance(milliseconds(1));
        DOUBLES_EQUAL(CriticalCut, sequence.apply(CriticalCut), 0.0);
    }
}

// Guards against reads that are run while other instances or edges still refuse critical calls. With the closure off they run at once.
TEST(ShedOrder, opensReadsOnlyAfterCriticalCallsWereAdmittedForTheHoldTime)
{
    for (const bool enabled : {true, false}) {
        ShedSequence sequence({.enabled = enabled, .rampEnabled = false}, clock);
        sequence.apply(CriticalCut);
        clock.advance(seconds(1));
        sequence.apply(CriticalCut);

        clock.advance(milliseconds(999));
        DOUBLES_EQUAL(enabled ? CriticalOnlyScale : ReadsOpen, sequence.apply(ReadsOpen), 0.0);

        clock.advance(milliseconds(1));
        DOUBLES_EQUAL(ReadsOpen, sequence.apply(ReadsOpen), 0.0);
    }
}

// Guards against an idle instance that reports an open level and draws the waiting resends of all edges at once. Without the ramp it does.
TEST(ShedOrder, opensGraduallyAfterAClosure)
{
    for (const bool enabled : {true, false}) {
        ShedSequence sequence({.rampEnabled = enabled}, clock);
        sequence.apply(CriticalOnlyScale);
        clock.advance(seconds(5));
        const double first = sequence.apply(FullScale);
        CHECK(enabled ? first < CriticalOnlyScale + 20.0 : first == FullScale);

        sequence.readArrived();
        clock.advance(seconds(1));
        const double later = sequence.apply(FullScale);
        CHECK(enabled ? later > first + 100.0 && later < FullScale : later == FullScale);

        clock.advance(seconds(4));
        DOUBLES_EQUAL(FullScale, sequence.apply(FullScale), 0.0);
    }
}

// Guards against a booking that is refused by one instance while another has not yet closed reads. With the closure off it is refused as
// soon as this instance itself admits no read.
TEST(ShedOrder, keepsCriticalCallsInTheQueueUntilReadsWereClosedForTheGraceTime)
{
    for (const bool enabled : {true, false}) {
        AdmissionController admission(fullQueueOptions(enabled), clock);
        admission.configure(makeService(1), {});
        CallId id = 0;
        for (; id < 6; ++id) {
            CHECK(admission.offer(makeCall(id, CallClass::Critical, clock.now())).verdict != AdmissionVerdict::Refused);
        }
        clock.advance(milliseconds(500));
        CHECK(admission.offer(makeCall(++id, CallClass::Critical, clock.now())).verdict
              == (enabled ? AdmissionVerdict::Queued : AdmissionVerdict::Refused));

        clock.advance(milliseconds(500));
        CHECK(admission.offer(makeCall(++id, CallClass::Critical, clock.now())).verdict == AdmissionVerdict::Refused);
    }
}

// Guards against memory without bound while critical calls may not be refused.
TEST(ShedOrder, boundsTheQueueDuringTheGraceTime)
{
    AdmissionController admission(fullQueueOptions(true), clock);
    admission.configure(makeService(1), {});
    for (CallId id = 0; id < 50; ++id) {
        admission.offer(makeCall(id, CallClass::Critical, clock.now()));
    }
    LONGS_EQUAL(8, admission.queuedCount());
}

// Guards against an instance that refuses critical calls, although it is idle, because its level opens slowly. With the closure off it
// does.
TEST(ShedOrder, admitsCriticalCallsAtAnIdleInstance)
{
    for (const bool enabled : {true, false}) {
        AdmissionOptions options = fullQueueOptions(enabled);
        options.queueLimit = 1000;
        // The level of this test does not open by itself.
        options.level.firstRise = 0.0;
        options.level.largestRise = 0.0;
        options.level.idleGain = 0.0;
        options.level.idleRecovery = seconds(1000000);
        AdmissionController admission(options, clock);
        admission.configure(makeService(2), {});
        std::vector<CallId> running;
        CallId id = 0;
        for (int step = 0; step < 400; ++step) {
            for (int call = 0; call < 3; ++call) {
                if (admission.offer(makeCall(++id, CallClass::Critical, clock.now())).verdict == AdmissionVerdict::Run) {
                    running.push_back(id);
                }
            }
            clock.advance(milliseconds(10));
            if (step % 10 == 0 && !running.empty()) {
                admission.finish(running.front(), CallOutcome::Completed);
                running.erase(running.begin());
            }
            for (const AdmissionResult &result : admission.poll()) {
                if (result.verdict == AdmissionVerdict::Run) {
                    running.push_back(result.id);
                }
            }
        }
        CHECK(toScale(admission.report().level) < CriticalOnlyScale);

        for (CallId waiting = 1; waiting <= id; ++waiting) {
            admission.cancel(waiting);
        }
        admission.poll();

        const double after = toScale(admission.report().level);
        CHECK(enabled ? after >= CriticalOnlyScale : after < CriticalOnlyScale);
    }
}

// Guards against internal lookups of admitted requests that are refused for load: they wait instead. With the option off one is refused.
TEST(ShedOrder, letsInternalCallsWaitWhateverTheExpectedDelay)
{
    for (const bool enabled : {true, false}) {
        AdmissionOptions options = fullQueueOptions(true);
        options.queueLimit = 1000;
        options.internalWaitEnabled = enabled;
        AdmissionController admission(options, clock);
        admission.configure(makeService(1), {});
        admission.offer(makeCall(1, CallClass::Read, clock.now()));
        clock.advance(milliseconds(100));
        admission.finish(1, CallOutcome::Completed);
        admission.offer(makeCall(2, CallClass::Read, clock.now()));

        const AdmissionResult result = admission.offer(makeInternal(3, clock.now(), milliseconds(50)));
        CHECK(result.verdict == (enabled ? AdmissionVerdict::Queued : AdmissionVerdict::Refused));

        clock.advance(milliseconds(10));
        CHECK(admission.poll().empty());
    }
}

// Guards against reads that run beside an instance that refuses critical calls, because the mean over the instances admits them. With the
// closure off the mean decides.
TEST(ShedOrder, closesReadsOnOneStrictReport)
{
    for (const bool enabled : {true, false}) {
        EdgeGate gate({.closure = {.enabled = enabled}, .sharesEnabled = false}, clock);
        const CallDescription read = makeCall(7, CallClass::Read, clock.now());
        for (int report = 0; report < 20; ++report) {
            gate.learn(read, OperationId("list"), reportOf(FullScale), milliseconds(10), true);
        }
        gate.learn(read, OperationId("list"), reportOf(CriticalCut), milliseconds(10), true);

        CallDescription list = makeCall(8, CallClass::Read, clock.now());
        list.operation = OperationId("list");
        CHECK(gate.checkBelow(list).has_value() == enabled);
        CHECK((toScale(gate.levelBelow(list.operation)) <= CriticalOnlyScale) == enabled);
    }
}

// Guards against reads of a service that run while its bookings are refused for another service below them. With the closure off they run.
TEST(ShedOrder, closesAllReadsOfTheServiceWhoseCriticalCallsAreCut)
{
    for (const bool enabled : {true, false}) {
        EdgeGate gate({.closure = {.enabled = enabled}, .sharesEnabled = false}, clock);
        CallDescription child = makeCall(7, CallClass::Critical, clock.now());
        child.internal = true;
        gate.learn(child, OperationId("book"), reportOf(CriticalCut), milliseconds(10), true);
        CallDescription list = makeCall(8, CallClass::Read, clock.now());
        list.operation = OperationId("list");
        CHECK(gate.checkBelow(list).has_value() == enabled);

        clock.advance(milliseconds(500));
        CHECK_FALSE(gate.checkBelow(list).has_value());
    }
}

// Guards against an edge that refuses bookings before all others have closed reads. With the closure off it refuses at once.
TEST(ShedOrder, refusesCriticalCallsAtTheEdgeOnlyAfterTheGraceTime)
{
    for (const bool enabled : {true, false}) {
        EdgeGate gate({.closure = {.enabled = enabled}, .sharesEnabled = false}, clock);
        learnFor(gate, CriticalCut, milliseconds(800));
        CHECK(enabled ? refusedBookings(gate, Duration(0)) == 0 : refusedBookings(gate, Duration(0)) > 500);

        learnFor(gate, CriticalCut, milliseconds(300));
        CHECK(refusedBookings(gate, Duration(0)) > 500);
    }
}

// Guards against an edge that refuses bookings on an old report, when the instances already admit reads. With the closure off it does.
TEST(ShedOrder, refusesNoCriticalCallsAtTheEdgeOnAnOldReport)
{
    for (const bool enabled : {true, false}) {
        EdgeGate gate({.closure = {.enabled = enabled}, .sharesEnabled = false}, clock);
        learnFor(gate, CriticalCut, seconds(2));
        CHECK(refusedBookings(gate, milliseconds(200)) > 500);
        CHECK((refusedBookings(gate, milliseconds(150)) == 0) == enabled);
    }
}
