#include "core/ownership/claimsender.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

constexpr Duration Retention = std::chrono::seconds(200);

RequestKey key(std::uint64_t number)
{
    return {.high = 0, .low = number};
}

OwnershipOptions optionsWithWindow(Duration window)
{
    OwnershipOptions options;
    options.self.name = NodeId("bestilling-0");
    options.self.incarnation = 7;
    options.claimBatchWindow = window;
    return options;
}

} // namespace

TEST_GROUP(ClaimSender)
{
    const MemberId witness{.name = NodeId("bestilling-1"), .incarnation = 3};
    OwnershipOptions options = optionsWithWindow(std::chrono::milliseconds(5));
    ClaimSender sender{options};
    TimePoint now{std::chrono::hours(1)};

    // Sends the checks that follow a new term, so that later messages are claims.
    void start()
    {
        sender.setTerm({.term = 1, .witnesses = {witness}}, now);
        for (const auto &[to, check] : sender.due(now, true)) {
            sender.acknowledged(witness.name, check.sequence);
        }
    }

    std::vector<Claim> request(std::uint64_t number)
    {
        sender.request(key(number), Retention, now);
        return due();
    }

    std::vector<Claim> due()
    {
        std::vector<Claim> claims;
        for (auto &[to, claim] : sender.due(now, false)) {
            claims.push_back(std::move(claim));
        }
        return claims;
    }
};

// Guards against a lone booking that is delayed for the sake of sharing a message.
TEST(ClaimSender, loneClaimGoesOutAtOnce)
{
    start();

    const std::vector<Claim> claims = request(1);

    LONGS_EQUAL(1, claims.size());
    LONGS_EQUAL(1, claims.front().keys.size());
    CHECK_FALSE(sender.windowEnd().has_value());
}

// Guards against a message per booking under load: claims that arrive while one is unanswered go out together with its answer.
TEST(ClaimSender, claimsShareAMessageAfterTheAnswer)
{
    start();
    const std::vector<Claim> first = request(1);
    LONGS_EQUAL(0, request(2).size());
    LONGS_EQUAL(0, request(3).size());

    LONGS_EQUAL(1, sender.acknowledged(witness.name, first.front().sequence).size());
    const std::vector<Claim> second = due();

    LONGS_EQUAL(1, second.size());
    LONGS_EQUAL(2, second.front().keys.size());
}

// Guards against claims that wait for longer than the window when the witness is slow or the answer is lost.
TEST(ClaimSender, windowEndsTheWait)
{
    start();
    request(1);
    LONGS_EQUAL(0, request(2).size());
    CHECK_TRUE(sender.windowEnd() == now + options.claimBatchWindow);

    now += options.claimBatchWindow;

    LONGS_EQUAL(1, due().size());
    CHECK_FALSE(sender.windowEnd().has_value());
}

// Guards against a window that holds claims back although batching is off.
TEST(ClaimSender, windowOfZeroSendsEachClaim)
{
    options.claimBatchWindow = Duration{0};
    start();

    LONGS_EQUAL(1, request(1).size());
    LONGS_EQUAL(1, request(2).size());
}

// Guards against a run whose claim the witness forgets too early: the late answer to a message of an older request of the key says nothing
// about the new request.
TEST(ClaimSender, lateAnswerDoesNotAcknowledgeALaterRequest)
{
    for (const bool enabled : {true, false}) {
        options.mechanisms.claimSequence = enabled;
        start();
        const std::vector<Claim> first = request(1);
        now += options.resendInterval;
        const auto resent = sender.due(now, true);
        CHECK_TRUE(!resent.empty());
        LONGS_EQUAL(1, sender.acknowledged(witness.name, resent.front().second.sequence).size());
        sender.request(key(1), Retention, now);

        LONGS_EQUAL(enabled ? 0 : 1, sender.acknowledged(witness.name, first.front().sequence).size());
    }
}

// Guards against an answer of another node being taken for the answer of the witness.
TEST(ClaimSender, answerOfAnotherNodeIsIgnored)
{
    start();
    const std::vector<Claim> first = request(1);

    LONGS_EQUAL(0, sender.acknowledged(NodeId("bestilling-2"), first.front().sequence).size());
    LONGS_EQUAL(1, sender.acknowledged(witness.name, first.front().sequence).size());
}
