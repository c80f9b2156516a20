#include "core/base/manualclock.h"
#include "core/relay/servingqueue.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

TEST_GROUP(ServingQueue)
{
    ManualClock clock;
    ServingQueue queue{ServingQueueOptions{}, clock};
    CallId lastId = 0;

    void setup() override
    {
        // The usable share of three slots is two.
        queue.setSlots(3);
    }

    ServingRequest request(unsigned priority, bool isInner, Duration timeLeft = 5s)
    {
        return {.id = ++lastId,
                .route = "route",
                .isInner = isInner,
                .priority = priority,
                .deadline = clock.now() + timeLeft,
                .targetLatency = 1s};
    }

    // Runs requests so that the holding time of the route is about `time`.
    void learnHoldingTime(Duration time)
    {
        for (int i = 0; i < 50; ++i) {
            const ServingRequest next = request(2, false, 60s);
            CHECK(queue.offer(next) == ServingDecision::Start);
            clock.advance(time);
            queue.finish(next.id, true);
        }
    }

    void occupyAllSlots()
    {
        CHECK(queue.offer(request(2, false)) == ServingDecision::Start);
        CHECK(queue.offer(request(2, false)) == ServingDecision::Start);
    }
};

TEST(ServingQueue, NoMoreRequestsRunThanTheUsableSlots)
{
    occupyAllSlots();

    CHECK(queue.offer(request(2, false)) == ServingDecision::Wait);
    LONGS_EQUAL(2, queue.report().runningRequests);
    LONGS_EQUAL(1, queue.report().queuedRequests);
}

TEST(ServingQueue, RequestsStartByPriorityAndInnerCallsFirst)
{
    occupyAllSlots();
    const ServingRequest read = request(2, false);
    const ServingRequest readCall = request(2, true);
    const ServingRequest booking = request(0, false);
    const ServingRequest bookingCall = request(0, true);
    for (const ServingRequest &waiting : {read, readCall, booking, bookingCall}) {
        CHECK(queue.offer(waiting) == ServingDecision::Wait);
    }

    std::vector<CallId> started;
    CallId running = 1;
    for (int i = 0; i < 4; ++i) {
        queue.finish(running, true);
        for (const ServingQueue::Change &change : queue.poll()) {
            started.push_back(change.id);
            running = change.id;
        }
    }

    const std::vector<CallId> expected{bookingCall.id, booking.id, readCall.id, read.id};
    CHECK(started == expected);
}

TEST(ServingQueue, ARequestThatCannotMeetItsDeadlineIsRefusedOnArrival)
{
    learnHoldingTime(200ms);

    CHECK(queue.offer(request(0, false, 100ms)) == ServingDecision::RefuseLate);
}

TEST(ServingQueue, AWaitingRequestIsRefusedOnceItCannotMeetItsDeadline)
{
    learnHoldingTime(200ms);
    occupyAllSlots();
    const ServingRequest booking = request(0, false, 500ms);
    CHECK(queue.offer(booking) == ServingDecision::Wait);

    clock.advance(350ms);
    const std::vector<ServingQueue::Change> changes = queue.poll();

    LONGS_EQUAL(1, changes.size());
    LONGS_EQUAL(booking.id, changes[0].id);
    CHECK(changes[0].decision == ServingDecision::RefuseLate);
    LONGS_EQUAL(0, queue.report().queuedRequests);
}

TEST(ServingQueue, OnlyALowPriorityRequestOfACallerIsRefusedForALongWait)
{
    learnHoldingTime(400ms);
    occupyAllSlots();
    for (int i = 0; i < 2; ++i) {
        queue.offer(request(0, true));
    }

    CHECK(queue.offer(request(2, false)) == ServingDecision::RefuseOverload);
    CHECK(queue.offer(request(0, false)) == ServingDecision::Wait);
    CHECK(queue.offer(request(2, true)) == ServingDecision::Wait);
}

TEST(ServingQueue, AWithdrawnRequestNeverStarts)
{
    occupyAllSlots();
    const ServingRequest waiting = request(0, false);
    queue.offer(waiting);

    CHECK(queue.withdraw(waiting.id));
    queue.finish(1, true);

    CHECK(queue.poll().empty());
    CHECK_FALSE(queue.withdraw(waiting.id));
}

TEST(ServingQueue, PressureRisesWhileRequestsWaitAndFallsAfterTheOverload)
{
    learnHoldingTime(50ms);
    occupyAllSlots();
    for (int i = 0; i < 20; ++i) {
        queue.offer(request(0, true, 60s));
    }
    for (int i = 0; i < 20; ++i) {
        clock.advance(100ms);
        queue.tick();
    }
    const double overloaded = queue.report().pressure;

    for (CallId id = 1; id <= lastId; ++id) {
        queue.finish(id, true);
        queue.withdraw(id);
    }
    for (int i = 0; i < 60; ++i) {
        clock.advance(100ms);
        queue.tick();
    }

    CHECK(overloaded > 0.9);
    DOUBLES_EQUAL(0.0, queue.report().pressure, 1e-9);
}

TEST(ServingQueue, PressureStaysAtZeroWithoutWaiting)
{
    learnHoldingTime(50ms);

    for (int i = 0; i < 20; ++i) {
        queue.tick();
    }

    DOUBLES_EQUAL(0.0, queue.report().pressure, 1e-9);
}

// Guards against a workspace that sends many times its usual and fills the queue, so that the others wait or are refused because of it.
TEST(ServingQueue, AWorkspaceThatSendsTooMuchWaitsForItself)
{
    learnHoldingTime(100ms);
    occupyAllSlots();
    unsigned refusedOfHot = 0;
    for (int number = 0; number < 40; ++number) {
        ServingRequest hot = request(1, false);
        hot.workspace = "hot";
        refusedOfHot += queue.offer(hot) == ServingDecision::Wait ? 0 : 1;
    }
    CHECK(refusedOfHot > 0);
    ServingRequest other = request(1, false);
    other.workspace = "other";

    CHECK(queue.offer(other) == ServingDecision::Wait);

    // The first of "hot" has the same tag and came earlier.
    queue.finish(1 + 50, true);
    queue.finish(2 + 50, true);
    bool otherStarted = false;
    for (const ServingQueue::Change &change : queue.poll()) {
        otherStarted = otherStarted || (change.id == other.id && change.decision == ServingDecision::Start);
    }
    CHECK(otherStarted);
}

// Guards against requests without a workspace that no longer start in the order of their arrival.
TEST(ServingQueue, RequestsOfOneWorkspaceStartInTheOrderOfTheirArrival)
{
    for (const char *workspace : {"", "growers"}) {
        ServingQueue ordered(ServingQueueOptions{}, clock);
        ordered.setSlots(2);
        CHECK(ordered.offer(request(2, false)) == ServingDecision::Start);
        std::vector<CallId> offered;
        for (int number = 0; number < 5; ++number) {
            ServingRequest next = request(1, false);
            next.workspace = workspace;
            offered.push_back(next.id);
            CHECK(ordered.offer(next) == ServingDecision::Wait);
        }
        std::vector<CallId> started;
        CallId running = offered.front() - 1;
        for (int number = 0; number < 5; ++number) {
            ordered.finish(running, true);
            running = ordered.poll().front().id;
            started.push_back(running);
        }
        CHECK(started == offered);
    }
}
