#include "daemon/calltable.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

TEST_GROUP(CallTable)
{
    CallTable calls;
    const CallId id = calls.add({})->call.id;
};

// Guards against the late answer of an earlier attempt that is passed on as the answer of the current one.
TEST(CallTable, ignoresTheResultOfAnEarlierAttempt)
{
    const unsigned first = *calls.beginAttempt(id, AttemptKind::Forwarded, NodeId("a"), TimePoint::max());
    const unsigned second = *calls.beginAttempt(id, AttemptKind::Forwarded, NodeId("b"), TimePoint::max());

    CHECK_FALSE(calls.endAttempt(id, first, std::make_shared<HttpResponse>()));
    CHECK(calls.answerOf(id) == nullptr);
    CHECK(calls.endAttempt(id, second, std::make_shared<HttpResponse>()));
    CHECK_FALSE(calls.endAttempt(id, second, nullptr));
    CHECK(calls.answerOf(id) != nullptr);
}

// Guards against records that are lost while an attempt still runs, and against records that stay for ever.
TEST(CallTable, keepsARecordUntilItsAttemptHasEnded)
{
    const unsigned attempt = *calls.beginAttempt(id, AttemptKind::Local, {}, TimePoint::max());
    calls.noteCallerGone(id);
    calls.eraseIfDone(id);
    CHECK_EQUAL(1U, calls.size());

    calls.endAttempt(id, attempt, nullptr);
    calls.eraseIfDone(id);

    CHECK_EQUAL(0U, calls.size());
    CHECK_FALSE(calls.beginAttempt(id, AttemptKind::Local, {}, TimePoint::max()).has_value());
}

// Guards against two answers to one caller.
TEST(CallTable, letsACallBeAnsweredOnce)
{
    CHECK(calls.noteResponded(id));
    CHECK_FALSE(calls.noteResponded(id));
}

// Guards against attempts that outlive their time.
TEST(CallTable, takesExpiredAttemptsOnce)
{
    const TimePoint now(std::chrono::seconds(10));
    calls.beginAttempt(id, AttemptKind::Forwarded, NodeId("a"), now);

    CHECK(calls.takeExpired(now - std::chrono::milliseconds(1)).empty());
    CHECK_EQUAL(1U, calls.takeExpired(now).size());
    CHECK(calls.takeExpired(now).empty());
}
