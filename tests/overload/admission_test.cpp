#include "callbuilder.h"

#include "core/base/manualclock.h"
#include "core/overload/admissioncontroller.h"
#include "core/overload/admissionlevel.h"

#include <map>
#include <set>
#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

AdmissionOptions warmOptions()
{
    AdmissionOptions options;
    options.limit.slowStart = false;
    return options;
}

// Runs a random schedule of offers, ends, cancellations and time steps against a controller, and keeps its own record of each call.
class Schedule
{
public:
    explicit Schedule(AdmissionOptions options) : m_admission(options, m_clock)
    {
        m_admission.configure(makeService(*rc::gen::inRange(1U, 6U)), {});
    }

    void step()
    {
        const int action = *rc::gen::inRange(0, 10);
        if (action < 5) {
            offer();
        } else if (action < 8 && !running.empty()) {
            const CallId id = *running.begin();
            running.erase(running.begin());
            m_admission.finish(id, *rc::gen::element(CallOutcome::Completed, CallOutcome::Overloaded, CallOutcome::Failed));
        } else if (action == 8 && !waiting.empty()) {
            const CallId id = waiting.begin()->first;
            waiting.erase(waiting.begin());
            m_admission.cancel(id);
        } else {
            m_clock.advance(milliseconds(*rc::gen::inRange(1, 400)));
        }
        for (const AdmissionResult &result : m_admission.poll()) {
            RC_ASSERT(waiting.contains(result.id));
            settle(result, waiting.at(result.id));
            waiting.erase(result.id);
        }
        RC_ASSERT(m_admission.runningCount() == running.size());
        RC_ASSERT(m_admission.queuedCount() == waiting.size());
    }

    std::set<CallId> running;
    std::map<CallId, CallClass> waiting;
    // A read was run at the same time as a critical call was refused for load, after it.
    bool readRunBesideRefusedCritical = false;

private:
    void offer()
    {
        const auto callClass = *rc::gen::element(CallClass::Bulk, CallClass::Read, CallClass::Critical, CallClass::Critical);
        const CallDescription call = makeCall(++m_lastId, callClass, m_clock.now(), milliseconds(*rc::gen::inRange(1, 3000)));
        const AdmissionResult result = m_admission.offer(call);
        RC_ASSERT(result.id == call.id);
        if (result.verdict == AdmissionVerdict::Queued) {
            waiting.emplace(call.id, callClass);
        } else {
            settle(result, callClass);
        }
    }

    void settle(const AdmissionResult &result, CallClass callClass)
    {
        if (result.verdict == AdmissionVerdict::Run) {
            RC_ASSERT(running.insert(result.id).second);
            const bool beside = callClass != CallClass::Critical && m_criticalRefused == m_clock.now();
            readRunBesideRefusedCritical = readRunBesideRefusedCritical || beside;
        } else if (callClass == CallClass::Critical && result.refusal.reason == RefusalReason::Overloaded) {
            m_criticalRefused = m_clock.now();
        }
    }

    ManualClock m_clock;
    AdmissionController m_admission;
    CallId m_lastId = 0;
    TimePoint m_criticalRefused;
};

bool refusesCriticalBesideReads(AdmissionOptions options)
{
    // A small queue of reads, then critical calls that find it full.
    options.queueLimit = 4;
    ManualClock clock;
    AdmissionController admission(options, clock);
    admission.configure(makeService(1), {});
    CallId id = 0;
    for (; id < 5; ++id) {
        admission.offer(makeCall(id, CallClass::Read, clock.now()));
    }
    const AdmissionResult critical = admission.offer(makeCall(id, CallClass::Critical, clock.now()));
    return critical.verdict == AdmissionVerdict::Refused;
}

// Calls of the quiet caller that run among the first ten, when an aggressive caller has filled the queue before it.
unsigned runsOfQuietCaller(AdmissionOptions options)
{
    options.levelEnabled = false;
    ManualClock clock;
    AdmissionController admission(options, clock);
    admission.configure(makeService(1), {});
    std::set<CallId> quiet;
    for (CallId id = 1; id <= 50; ++id) {
        CallDescription call = makeCall(id, CallClass::Read, clock.now());
        call.callerHash = id <= 45 ? 1 : 2;
        if (id > 45) {
            quiet.insert(id);
        }
        admission.offer(call);
    }
    unsigned runs = 0;
    CallId current = 1;
    for (int round = 0; round < 10; ++round) {
        clock.advance(milliseconds(10));
        admission.finish(current, CallOutcome::Completed);
        const std::vector<AdmissionResult> next = admission.poll();
        current = next.front().id;
        runs += quiet.contains(current) ? 1 : 0;
    }
    return runs;
}

// Scale of the level after an overload of two seconds, and after the given time with a light load.
std::pair<double, double> scaleDuringAndAfter(AdmissionOptions options)
{
    ManualClock clock;
    AdmissionController admission(options, clock);
    admission.configure(makeService(2), {});
    CallId id = 0;
    std::map<CallId, TimePoint> running;
    double during = FullScale;
    for (int step = 0; step < 2200; ++step) {
        const bool overload = step < 200;
        if (overload || step % 10 == 0) {
            const AdmissionResult result = admission.offer(makeCall(++id, CallClass::Read, clock.now()));
            if (result.verdict == AdmissionVerdict::Run) {
                running.emplace(id, clock.now());
            }
        }
        clock.advance(milliseconds(10));
        for (auto entry = running.begin(); entry != running.end();) {
            if (clock.now() - entry->second >= milliseconds(50)) {
                admission.finish(entry->first, CallOutcome::Completed);
                entry = running.erase(entry);
            } else {
                ++entry;
            }
        }
        for (const AdmissionResult &result : admission.poll()) {
            if (result.verdict == AdmissionVerdict::Run) {
                running.emplace(result.id, clock.now());
            }
        }
        during = std::min(during, toScale(admission.report().level));
    }
    return {during, toScale(admission.report().level)};
}

} // namespace

TEST_GROUP(Admission){};

// Guards against calls that are lost in the queue, or run or refused twice, and against reads that run when a critical call is refused.
TEST(Admission, settlesEachCallExactlyOnce)
{
    CHECK(rc::check([] {
        Schedule schedule(warmOptions());
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            schedule.step();
        }
        RC_ASSERT_FALSE(schedule.readRunBesideRefusedCritical);
    }));
}

// Guards against bookings that are refused for a queue full of reads. Without classes the same calls are refused.
TEST(Admission, putsOutReadsBeforeItRefusesACriticalCall)
{
    CHECK_FALSE(refusesCriticalBesideReads(warmOptions()));

    AdmissionOptions without = warmOptions();
    without.priorityEnabled = false;
    CHECK(refusesCriticalBesideReads(without));
}

// Guards against a client that resends aggressively and starves another. Without fairness the quiet caller waits behind all of its calls.
TEST(Admission, letsCallersTakeTurns)
{
    LONGS_EQUAL(5, runsOfQuietCaller(warmOptions()));

    AdmissionOptions without = warmOptions();
    without.fairnessEnabled = false;
    LONGS_EQUAL(0, runsOfQuietCaller(without));
}

// Guards against an overload that outlasts its trigger. Without growth the level stays shut.
TEST(Admission, opensTheLevelAfterAnOverload)
{
    const auto [during, after] = scaleDuringAndAfter(warmOptions());
    CHECK(during < FullScale / 2);
    DOUBLES_EQUAL(FullScale, after, 0.5);

    AdmissionOptions without = warmOptions();
    without.level.firstRise = 0.0;
    without.level.largestRise = 0.0;
    without.level.leastSpeed = 0.0;
    without.level.largestSpeed = 0.0;
    without.level.idleGain = 0.0;
    without.level.idleRecovery = seconds(1000000);
    CHECK(scaleDuringAndAfter(without).second < FullScale);
}

// Guards against work on calls whose answer comes too late. Without the check the call is queued.
TEST(Admission, refusesACallThatCannotFinishInTime)
{
    for (const bool enabled : {true, false}) {
        AdmissionOptions options = warmOptions();
        options.deadlineCheckEnabled = enabled;
        ManualClock clock;
        AdmissionController admission(options, clock);
        admission.configure(makeService(1), {});
        admission.offer(makeCall(1, CallClass::Read, clock.now()));
        clock.advance(milliseconds(100));
        admission.finish(1, CallOutcome::Completed);
        admission.offer(makeCall(2, CallClass::Read, clock.now()));

        const AdmissionResult late = admission.offer(makeCall(3, CallClass::Read, clock.now(), milliseconds(50)));

        CHECK(late.verdict == (enabled ? AdmissionVerdict::Refused : AdmissionVerdict::Queued));
        CHECK(!enabled || late.refusal.reason == RefusalReason::DeadlineTooShort);
    }
}

// Guards against a slow downstream service that takes all slots. Without isolation its calls hold every slot.
TEST(Admission, keepsSlotsFreeOfCallsThatWaitForOneService)
{
    for (const bool enabled : {true, false}) {
        AdmissionOptions options = warmOptions();
        options.isolationEnabled = enabled;
        ManualClock clock;
        AdmissionController admission(options, clock);
        admission.configure(makeService(10), {});
        admission.offer(makeCall(1, CallClass::Read, clock.now()));
        admission.finish(1, CallOutcome::Completed);
        for (CallId id = 2; id < 22; ++id) {
            CallDescription call = makeCall(id, CallClass::Read, clock.now());
            call.operation = OperationId("lookup");
            admission.offer(call);
        }
        LONGS_EQUAL(enabled ? 8 : 10, admission.runningCount());
        CHECK(admission.offer(makeCall(30, CallClass::Read, clock.now())).verdict
              == (enabled ? AdmissionVerdict::Run : AdmissionVerdict::Queued));
    }
}

// Guards against internal lookups of admitted requests that are shed as caller traffic.
TEST(Admission, doesNotApplyTheLevelToInternalCalls)
{
    ManualClock clock;
    AdmissionController admission(warmOptions(), clock);
    admission.configure(makeService(1), {});
    unsigned refused = 0;
    CallId running = 0;
    for (CallId id = 1; id < 400; ++id) {
        CallDescription call = makeCall(id, CallClass::Read, clock.now());
        call.internal = id % 10 == 0;
        const AdmissionResult result = admission.offer(call);
        running = result.verdict == AdmissionVerdict::Run ? id : running;
        refused += result.verdict == AdmissionVerdict::Refused ? 1 : 0;
        CHECK(!call.internal || result.verdict != AdmissionVerdict::Refused);
        clock.advance(milliseconds(10));
        if (id % 4 == 0) {
            admission.finish(running, CallOutcome::Completed);
            for (const AdmissionResult &next : admission.poll()) {
                running = next.verdict == AdmissionVerdict::Run ? next.id : running;
            }
        }
    }
    CHECK(refused > 0);
}
