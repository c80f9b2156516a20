#include "node/fleet.h"

#include "core/ownership/ownership.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::test;
using namespace std::chrono_literals;

namespace {

// Time for which a service whose instances all start without memory refuses non-idempotent requests: retention and host list lag.
constexpr Duration ColdStartTime = 15s;

Fleet::Options makeOptions()
{
    Fleet::Options options{.configuration = testConfiguration(), .members = testMembers("books", 3)};
    for (const MemberInfo &member : testMembers("shop", 2)) {
        options.members.push_back(member);
    }
    options.adjust = [](NodeOptions &node) {
        node.ownership.maximumRetention = 8s;
        node.ownership.hostListLag = 2s;
    };
    return options;
}

} // namespace

TEST_GROUP(CallPath)
{
    const NodeId shop{"shop-north-0"};
    const NodeId books{"books-north-0"};
    const NodeId otherBooks{"books-south-1"};
};

// Guards against a node that answers only for its own service.
TEST(CallPath, servesACallerOfAnotherServiceThroughItsNode)
{
    Fleet fleet(makeOptions());
    fleet.run(1s);

    const std::size_t request = fleet.send(shop, "books", "list", "read-1");
    fleet.run(1s);

    CHECK_TRUE(fleet.result(request).answered);
    LONGS_EQUAL(1, fleet.executions().at("read-1"));
}

// Guards against an owner that acts before it can know of earlier runs.
TEST(CallPath, refusesBookingsAsUnknownDuringAColdStart)
{
    Fleet fleet(makeOptions());
    fleet.run(1s);

    const std::size_t request = fleet.send(shop, "books", "book", "booking-1");
    fleet.run(3s);

    CHECK_FALSE(fleet.result(request).answered);
    CHECK_TRUE(fleet.result(request).refusal.has_value());
    CHECK_TRUE(fleet.result(request).refusal->kind == RefusalKind::OutcomeUnknown);
    LONGS_EQUAL(0, fleet.executions().count("booking-1"));
}

// Guards against a booking that runs again when an old client resends it through other nodes.
TEST(CallPath, runsABookingOnceAndReplaysItsAnswerToResends)
{
    Fleet fleet(makeOptions());
    fleet.run(ColdStartTime);

    const std::size_t first = fleet.send(shop, "books", "book", "booking-1");
    fleet.run(5ms);
    const std::size_t whileRunning = fleet.send(books, "books", "book", "booking-1");
    fleet.run(1s);
    const std::size_t afterwards = fleet.send(otherBooks, "books", "book", "booking-1");
    fleet.run(1s);

    CHECK_TRUE(fleet.result(first).answered);
    CHECK_TRUE(fleet.result(whileRunning).answered);
    CHECK_TRUE(fleet.result(afterwards).answered);
    LONGS_EQUAL(1, fleet.executions().at("booking-1"));
}

// Guards against reads that fail because one backend server is down.
TEST(CallPath, retriesAReadOnAnotherInstanceWhenABackendServerIsDown)
{
    Fleet fleet(makeOptions());
    fleet.run(1s);
    fleet.crashServer(books);

    int answered = 0;
    for (int i = 0; i < 20; ++i) {
        const std::size_t request = fleet.send(shop, "books", "list", "read-" + std::to_string(i));
        fleet.run(200ms);
        answered += fleet.result(request).answered ? 1 : 0;
    }

    LONGS_EQUAL(20, answered);
}

// Guards against new work on an instance that is leaving, and against a stop that never ends.
TEST(CallPath, drainsWithoutNewWorkOnTheLeavingInstance)
{
    Fleet fleet(makeOptions());
    fleet.run(ColdStartTime);
    const std::size_t inFlight = fleet.send(books, "books", "list", "read-0");

    fleet.handle(books, DrainRequested{});
    const TimePoint drainStart = fleet.now();
    for (int i = 1; i <= 100; ++i) {
        fleet.send(shop, "books", "list", "read-" + std::to_string(i));
        fleet.run(50ms);
    }

    CHECK_TRUE(fleet.result(inFlight).answered);
    CHECK_TRUE(fleet.drained(books));
    const std::optional<TimePoint> last = fleet.lastStart(books);
    CHECK_TRUE(!last || *last <= drainStart + 3s);
    for (int i = 1; i <= 100; ++i) {
        CHECK_TRUE(fleet.result(inFlight + static_cast<std::size_t>(i)).answered);
    }
}

// Guards against bookings that are lost with a planned stop: the members that stay know what ran.
TEST(CallPath, keepsABookingAtMostOnceAcrossAPlannedStopOfItsOwner)
{
    Fleet fleet(makeOptions());
    fleet.run(ColdStartTime);
    std::vector<std::size_t> before;
    for (int i = 0; i < 12; ++i) {
        before.push_back(fleet.send(shop, "books", "book", "booking-" + std::to_string(i)));
        fleet.run(100ms);
    }

    fleet.handle(books, DrainRequested{});
    fleet.run(2s);
    for (int i = 0; i < 12; ++i) {
        fleet.send(shop, "books", "book", "booking-" + std::to_string(i));
        fleet.run(100ms);
    }

    for (int i = 0; i < 12; ++i) {
        CHECK_TRUE(fleet.result(before[static_cast<std::size_t>(i)]).answered);
        LONGS_EQUAL(1, fleet.executions().at("booking-" + std::to_string(i)));
    }
}

// Guards against a second run when the owner's host dies after the run: the witnesses know of it.
TEST(CallPath, neverRunsABookingAgainAfterItsOwnerDied)
{
    Fleet fleet(makeOptions());
    fleet.run(ColdStartTime);
    for (int i = 0; i < 12; ++i) {
        fleet.send(shop, "books", "book", "booking-" + std::to_string(i));
        fleet.run(100ms);
    }

    fleet.kill(books);
    std::vector<MemberInfo> remaining = testMembers("books", 3);
    remaining.erase(remaining.begin());
    fleet.publishHostList("books", remaining, 500ms);
    fleet.run(3s);
    for (int i = 0; i < 12; ++i) {
        fleet.send(shop, "books", "book", "booking-" + std::to_string(i));
        fleet.run(100ms);
    }
    const std::size_t fresh = fleet.send(shop, "books", "book", "booking-new");
    fleet.run(2s);

    for (int i = 0; i < 12; ++i) {
        LONGS_EQUAL(1, fleet.executions().at("booking-" + std::to_string(i)));
    }
    CHECK_TRUE(fleet.result(fresh).answered);
}

// Guards against a booking that is called not run by a node that only could not reach its owner, while another copy of it has run.
TEST(CallPath, callsABookingWhoseOwnerCannotBeReachedUnknown)
{
    // More members than tries, so that the tries run out first.
    Fleet::Options options = makeOptions();
    options.members = testMembers("books", 6);
    options.members.push_back(testMembers("shop", 1).front());
    Fleet fleet(std::move(options));
    fleet.run(ColdStartTime);
    for (const MemberInfo &member : testMembers("books", 6)) {
        fleet.cut(shop, member.name);
    }

    const std::size_t request = fleet.send(shop, "books", "book", "booking-1");
    fleet.run(3s);

    CHECK_TRUE(fleet.result(request).refusal.has_value());
    CHECK_TRUE(fleet.result(request).refusal->kind == RefusalKind::OutcomeUnknown);
}

// Guards against a read that is called not run because its last attempt was not, although the first one may have been.
TEST(CallPath, callsAReadUnknownAfterAnAttemptThatMayHaveRun)
{
    Fleet fleet(makeOptions());
    fleet.run(1s);
    for (const MemberInfo &member : testMembers("books", 3)) {
        fleet.crashServer(member.name);
    }
    fleet.restartServer(books);
    std::size_t request = 0;
    for (int i = 0; i < 20 && fleet.executions().empty(); ++i) {
        request = fleet.send(shop, "books", "list", "read-" + std::to_string(i));
        fleet.run(8ms);
    }
    LONGS_EQUAL(1, fleet.executions().size());

    fleet.crashServer(books);
    fleet.run(2s);

    CHECK_TRUE(fleet.result(request).refusal.has_value());
    CHECK_TRUE(fleet.result(request).refusal->kind == RefusalKind::OutcomeUnknown);
}

// Guards against a node that refuses bookings until its process restarts after the host list dropped it by mistake.
TEST(CallPath, joinsAgainInTheSameProcessAfterAnExclusion)
{
    Fleet fleet(makeOptions());
    fleet.run(ColdStartTime);
    const std::vector<MemberInfo> all = testMembers("books", 3);
    fleet.publishHostList("books", {all.begin() + 1, all.end()});
    fleet.run(8s);
    CHECK_TRUE(fleet.core(books).ownership()->stage() == OwnerStage::Joining);

    fleet.publishHostList("books", all);
    fleet.run(8s);

    CHECK_FALSE(fleet.core(books).ownership()->excluded());
    CHECK_TRUE(fleet.core(books).ownership()->stage() == OwnerStage::Joined);
}
