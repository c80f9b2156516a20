#include "core/base/manualclock.h"
#include "core/ownership/likelyowner.h"
#include "core/ownership/ownership.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

constexpr Duration Retention = std::chrono::seconds(10);

// The only instance of a service, after its cold start.
struct Single
{
    explicit Single(OwnershipOptions given) : ownership(prepare(given), clock)
    {
        HostList list;
        list.version = 1;
        list.members = {given.self};
        ownership.handle(ServiceListRead{list});
        ownership.handle(OwnershipTick{});
        clock.advance(Retention);
        ownership.handle(OwnershipTick{});
    }

    static OwnershipOptions prepare(OwnershipOptions &options)
    {
        options.self.name = NodeId("monster-0");
        options.self.incarnation = 1;
        options.maximumRetention = Retention;
        options.hostListLag = Duration{0};
        return options;
    }

    OwnershipOutputs call(std::uint64_t key)
    {
        return ownership.handle(KeyedCall{.call = ++calls,
                                          .key = {.high = 0, .low = key},
                                          .retention = Retention,
                                          .deadline = clock.now() + std::chrono::seconds(1),
                                          .from = {},
                                          .arrivedAt = clock.now()});
    }

    OwnershipOutputs finish(std::uint64_t key, std::uint64_t bytes)
    {
        return ownership.handle(ExecutionFinished{.key = {.high = 0, .low = key}, .call = calls, .answerBytes = bytes});
    }

    ManualClock clock;
    CallId calls = 0;
    Ownership ownership;
};

template <typename Output>
const Output *find(const OwnershipOutputs &outputs)
{
    for (const OwnershipOutput &output : outputs) {
        if (const auto *found = std::get_if<Output>(&output)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

TEST_GROUP(Bounds){};

// Guards against memory that grows with the number of keys, and against a run that could not be remembered.
TEST(Bounds, refusesNewKeysWhenTheTableIsFull)
{
    OwnershipOptions options;
    options.maximumRecords = 10;
    Single single(options);
    for (std::uint64_t key = 1; key <= 9; ++key) {
        CHECK_TRUE(find<RunKey>(single.call(key)) != nullptr);
    }

    const OwnershipOutputs nearlyFull = single.call(10);
    CHECK_TRUE(find<RefuseCall>(nearlyFull) != nullptr);
    CHECK_TRUE(find<RefuseCall>(nearlyFull)->refusal.kind == RefusalKind::NotRun);
    const OwnershipOutputs full = single.call(11);
    CHECK_TRUE(find<RefuseCall>(full) != nullptr);
    CHECK_TRUE(find<RefuseCall>(full)->refusal.kind == RefusalKind::OutcomeUnknown);
    LONGS_EQUAL(10, single.ownership.recordCount());
}

// Guards against stored answers beyond the memory bound, and against a second run of a request whose answer was dropped.
TEST(Bounds, dropsTheOldestAnswerAndSaysUnknownForIt)
{
    OwnershipOptions options;
    options.maximumAnswerBytes = 250;
    Single single(options);
    for (std::uint64_t key = 1; key <= 2; ++key) {
        single.call(key);
        CHECK_TRUE(find<KeepAnswer>(single.finish(key, 100)) != nullptr);
    }
    CHECK_TRUE(find<ReplayAnswer>(single.call(1)) != nullptr);

    single.call(3);
    const OwnershipOutputs third = single.finish(3, 100);
    CHECK_TRUE(find<DropAnswer>(third) != nullptr);
    LONGS_EQUAL(1, find<DropAnswer>(third)->key.low);
    const OwnershipOutputs resend = single.call(1);
    CHECK_TRUE(find<RefuseCall>(resend) != nullptr);
    CHECK_TRUE(find<RefuseCall>(resend)->refusal.kind == RefusalKind::OutcomeUnknown);
}

// Guards against records that are kept for longer than the retention time.
TEST(Bounds, forgetsRecordsAfterTheRetentionTime)
{
    Single single({});
    single.call(1);
    single.finish(1, 100);
    single.clock.advance(Retention + std::chrono::seconds(1));

    CHECK_TRUE(find<DropAnswer>(single.ownership.handle(OwnershipTick{})) != nullptr);
    LONGS_EQUAL(0, single.ownership.recordCount());
}

// Guards against a late copy that runs because the process was paused between deciding a refusal and sending it.
TEST(Bounds, refusalCountsFromTheEndOfAPause)
{
    Single single({});
    CHECK_TRUE(find<RunKey>(single.call(1)) != nullptr);
    CHECK_TRUE(find<RefuseCall>(single.ownership.handle(ExecutionNotRun{.key = {.high = 0, .low = 1}})) != nullptr);
    single.clock.advance(std::chrono::milliseconds(500));
    single.ownership.handle(OwnershipTick{});
    for (int step = 0; step < 8; ++step) {
        single.clock.advance(std::chrono::milliseconds(100));
        single.ownership.handle(OwnershipTick{});
    }

    CHECK_TRUE(find<RunKey>(single.call(1)) == nullptr);
    for (int step = 0; step < 3; ++step) {
        single.clock.advance(std::chrono::milliseconds(100));
        single.ownership.handle(OwnershipTick{});
    }
    CHECK_TRUE(find<RunKey>(single.call(1)) != nullptr);
}

// Guards against routing keys to an instance that is known to be gone, and against nodes that guess differently.
TEST(Bounds, likelyOwnerSkipsMembersThatAreGone)
{
    std::array<MemberInfo, 3> members;
    for (std::size_t index = 0; index < members.size(); ++index) {
        members.at(index).name = NodeId("katalog-" + std::to_string(index));
    }
    const RequestKey key{.high = 1, .low = 2};
    const MemberInfo *first = likelyOwner(key, members);
    const MemberInfo *second = likelyOwner(key, members, [first](const MemberInfo &member) { return member.name == first->name; });

    CHECK_TRUE(second != nullptr);
    CHECK_TRUE(second->name != first->name);
    CHECK_TRUE(likelyOwner(key, members, [](const MemberInfo &) { return true; }) == nullptr);
}
