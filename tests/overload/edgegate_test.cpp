#include "callbuilder.h"

#include "core/base/manualclock.h"
#include "core/overload/admissionlevel.h"
#include "core/overload/edgegate.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

LoadReport reportBelow(AdmissionLevel below)
{
    LoadReport report;
    report.levelBelow = below;
    return report;
}

unsigned admitted(EdgeGate &gate, const ManualClock &clock, CallClass callClass)
{
    unsigned count = 0;
    for (CallId id = 1; id <= 1000; ++id) {
        count += gate.check(makeCall(id, callClass, clock.now())) ? 0 : 1;
    }
    return count;
}

} // namespace

TEST_GROUP(EdgeGate)
{
    ManualClock clock;
};

// Guards against work on requests that a service below refuses. With levels off all are admitted.
TEST(EdgeGate, appliesTheLevelOfTheNarrowestServiceBelow)
{
    for (const bool enabled : {true, false}) {
        EdgeGate gate({.levelsEnabled = enabled, .sharesEnabled = false}, clock);
        gate.learn(makeCall(1, CallClass::Read, clock.now()), {}, reportBelow({.callClass = CallClass::Read, .cut = 64}), milliseconds(10),
                   true);

        LONGS_EQUAL(enabled ? 0 : 1000, admitted(gate, clock, CallClass::Bulk));
        DOUBLES_EQUAL(enabled ? 250 : 1000, admitted(gate, clock, CallClass::Read), 20);
        LONGS_EQUAL(1000, admitted(gate, clock, CallClass::Critical));
    }
}

// Guards against an operation that is held back by a service that is not on its path.
TEST(EdgeGate, holdsBackOnlyTheOperationsOnThePath)
{
    EdgeGate gate({.sharesEnabled = false}, clock);
    CallDescription other = makeCall(1, CallClass::Read, clock.now());
    other.operation = OperationId("lookup");
    gate.learn(other, {}, reportBelow({.callClass = CallClass::Critical, .cut = 256}), milliseconds(10), true);

    CHECK(gate.check(other).has_value());
    CHECK_FALSE(gate.check(makeCall(2, CallClass::Read, clock.now())).has_value());
}

// Guards against a level that is never learnt again because all calls are refused.
TEST(EdgeGate, letsOneCallThroughToLearnASilentLevelAgain)
{
    EdgeGate gate({.sharesEnabled = false}, clock);
    // With a cut of 0 in the class of reads, critical calls are admitted and no read is.
    gate.learn(makeCall(1, CallClass::Read, clock.now()), {}, reportBelow({.callClass = CallClass::Critical, .cut = 256}), milliseconds(10),
               true);
    LONGS_EQUAL(0, admitted(gate, clock, CallClass::Read));

    clock.advance(seconds(1));

    LONGS_EQUAL(1, admitted(gate, clock, CallClass::Read));
}

// Guards against a read that is let through as a probe while critical calls are refused.
TEST(EdgeGate, sendsNoProbeWhileCriticalCallsAreCut)
{
    EdgeGate gate({.sharesEnabled = false}, clock);
    const LoadReport strict = reportBelow({.callClass = CallClass::Critical, .cut = 100});
    gate.learn(makeCall(1, CallClass::Read, clock.now()), {}, strict, milliseconds(10), true);
    clock.advance(seconds(1));
    CallDescription booking = makeCall(2, CallClass::Critical, clock.now());
    booking.operation = OperationId("book");
    gate.learn(booking, {}, strict, milliseconds(10), true);

    LONGS_EQUAL(0, admitted(gate, clock, CallClass::Read));
}

// Guards against a tenant that takes the capacity of another. With shares off it is not held back.
TEST(EdgeGate, holdsATenantToItsWeightUnderPressure)
{
    for (const bool enabled : {true, false}) {
        EdgeGate gate({.sharesEnabled = enabled}, clock);
        const std::vector<TenantConfiguration> tenants{{.id = TenantId("growers"), .weight = 1.0},
                                                       {.id = TenantId("inspectors"), .weight = 1.0}};
        gate.configure(tenants);
        gate.learn(makeCall(1, CallClass::Read, clock.now()), {}, reportBelow({.callClass = CallClass::Bulk, .cut = 128}), milliseconds(10),
                   true);
        unsigned loud = 0;
        unsigned quiet = 0;
        for (CallId id = 1; id <= 1000; ++id) {
            CallDescription call = makeCall(id, CallClass::Read, clock.now());
            call.tenant = tenants[id % 10 == 0 ? 1 : 0].id;
            (id % 10 == 0 ? quiet : loud) += gate.check(call) ? 0 : 1;
        }
        LONGS_EQUAL(100, quiet);
        CHECK(enabled ? loud < 200 : loud == 900);
    }
}

// Guards against a slow service that ties up all of this node. With isolation off there is no bound.
TEST(EdgeGate, boundsTheCallsThatWaitForOneService)
{
    for (const bool enabled : {true, false}) {
        EdgeGate gate({.waitingLimit = 10, .isolationEnabled = enabled}, clock);
        unsigned waiting = 0;
        for (CallId id = 1; id <= 20; ++id) {
            waiting += gate.startWaiting(makeCall(id, CallClass::Read, clock.now())) ? 0 : 1;
        }
        LONGS_EQUAL(enabled ? 10 : 20, waiting);
        gate.stopWaiting(makeCall(1, CallClass::Read, clock.now()));
        LONGS_EQUAL(waiting - 1, gate.waitingFor(ServiceId("registar")));
    }
}
