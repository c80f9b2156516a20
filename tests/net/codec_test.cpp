#include "net/callheaders.h"
#include "net/codec.h"

#include "core/node/peermessage.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

struct Inner
{
    std::uint16_t number = 0;
    std::string text;

    auto fields()
    {
        return std::tie(number, text);
    }
    auto fields() const
    {
        return std::tie(number, text);
    }
    friend bool operator==(const Inner &, const Inner &) = default;
};

struct Sample
{
    NodeId node;
    RequestKey key;
    Duration time{0};
    std::chrono::milliseconds wait{0};
    std::optional<Inner> inner;
    std::vector<Inner> list;
    std::variant<std::monostate, Inner> choice;
    CallClass callClass = CallClass::Bulk;
    std::int32_t negative = 0;
    bool flag = false;

    auto fields()
    {
        return std::tie(node, key, time, wait, inner, list, choice, callClass, negative, flag);
    }
    auto fields() const
    {
        return std::tie(node, key, time, wait, inner, list, choice, callClass, negative, flag);
    }
    friend bool operator==(const Sample &, const Sample &) = default;
};

std::string randomText(std::mt19937_64 &random, std::size_t longest)
{
    std::string text(random() % (longest + 1), ' ');
    for (char &c : text) {
        c = static_cast<char>(random());
    }
    return text;
}

Inner randomInner(std::mt19937_64 &random)
{
    return {.number = static_cast<std::uint16_t>(random()), .text = randomText(random, 300)};
}

Sample randomSample(std::mt19937_64 &random)
{
    Sample sample{.node = NodeId(randomText(random, 40)),
                  .key = {.high = random(), .low = random()},
                  .time = Duration(static_cast<std::int64_t>(random())),
                  .wait = std::chrono::milliseconds(static_cast<std::int32_t>(random())),
                  .callClass = static_cast<CallClass>(random() % 3),
                  .negative = static_cast<std::int32_t>(random()),
                  .flag = random() % 2 == 0};
    if (random() % 2 == 0) {
        sample.inner = randomInner(random);
        sample.choice = randomInner(random);
    }
    for (std::uint64_t i = random() % 20; i > 0; --i) {
        sample.list.push_back(randomInner(random));
    }
    return sample;
}

} // namespace

TEST_GROUP(Codec)
{
    std::mt19937_64 random{20261204};
};

// Guards against members that are lost or changed on the way between nodes.
TEST(Codec, roundTripsMessages)
{
    for (int i = 0; i < 2000; ++i) {
        const Sample sample = randomSample(random);

        CHECK(decodeMessage<Sample>(encodeMessage(sample)) == sample);
    }
}

// Guards against claims and answers that are changed on the way, and against their size: a booking costs one of each.
TEST(Codec, carriesClaimsInFewBytes)
{
    for (int i = 0; i < 2000; ++i) {
        Claim claim{.owner = random(), .term = random() % 100, .sequence = random() % 65536, .remaining = std::chrono::seconds(200)};
        claim.keys = {{.high = random(), .low = random()}};
        const std::string bytes = encodeMessage(PeerMessage(OwnershipMessage(claim)));
        const std::optional<PeerMessage> received = decodeMessage<PeerMessage>(bytes);

        CHECK_TRUE(received.has_value());
        const auto &read = std::get<Claim>(std::get<OwnershipMessage>(*received));
        CHECK_TRUE(read.fields() == std::as_const(claim).fields());
        CHECK_FALSE(decodeMessage<PeerMessage>(bytes.substr(0, bytes.size() - 1)).has_value());
        const ClaimAcknowledged answer{.owner = claim.owner, .sequence = claim.sequence};
        const std::string answerBytes = encodeMessage(PeerMessage(OwnershipMessage(answer)));
        const std::optional<PeerMessage> answered = decodeMessage<PeerMessage>(answerBytes);
        CHECK_TRUE(answered.has_value());
        CHECK_TRUE(std::get<ClaimAcknowledged>(std::get<OwnershipMessage>(*answered)).fields() == answer.fields());
        // 5 KB/s at 10 bookings a second allow 250 bytes for a claim and its answer, which each node both sends and receives.
        CHECK_TRUE(bytes.size() + answerBytes.size() < 250);
    }
}

// Guards against crashes and large allocations on damaged input, and against accepting bytes after a message or a message cut short.
TEST(Codec, survivesDamagedMessages)
{
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = encodeMessage(randomSample(random));
        CHECK_FALSE(decodeMessage<Sample>(bytes.substr(0, random() % bytes.size())).has_value());
        CHECK_FALSE(decodeMessage<Sample>(bytes + "x").has_value());
        bytes[random() % bytes.size()] = static_cast<char>(random());
        decodeMessage<Sample>(bytes);
        decodeMessage<PeerMessage>(bytes);
        decodeMessage<PeerMessage>(randomText(random, 200));
    }
    // An array that claims four billion elements.
    CHECK_FALSE(decodeMessage<std::vector<Inner>>("\xdd\xff\xff\xff\xff").has_value());
}

// Guards against values that do not fit their member being cut silently.
TEST(Codec, refusesNumbersOutOfRange)
{
    CHECK_FALSE(decodeMessage<std::uint16_t>(encodeMessage(std::uint32_t{70000})).has_value());
    CHECK_FALSE(decodeMessage<std::uint32_t>(encodeMessage(std::int64_t{-1})).has_value());
}

// Guards against a call that reaches the next node with another description, and against crashes on damaged descriptions.
TEST(Codec, carriesCallsInHeaders)
{
    const TimePoint now(std::chrono::hours(100));
    ForwardedCall sent{
        .from = NodeId("registar-osijek-1"), .mode = ForwardMode::Execute, .traceId = "t", .method = "POST", .target = "/a?b"};
    sent.call.service = ServiceId("registar");
    sent.call.operation = OperationId("book");
    sent.call.tenant = TenantId("growers");
    sent.call.requestId = "r";
    sent.call.callClass = CallClass::Critical;
    sent.call.idempotent = false;
    sent.call.key = {.high = random(), .low = random()};
    sent.call.requestHash = random();
    sent.call.attemptsLeft = 2;

    HttpHeaders headers = encodeForwardedCall(sent, std::chrono::milliseconds(250));
    const std::optional<ForwardedCall> received = decodeForwardedCall(headers, now);

    CHECK(received.has_value());
    CHECK(received->mode == ForwardMode::Execute && received->call.callClass == CallClass::Critical && !received->call.idempotent);
    CHECK(received->call.key == sent.call.key && received->call.requestHash == sent.call.requestHash);
    CHECK(received->call.deadline == now + std::chrono::milliseconds(250));
    STRCMP_EQUAL("/a?b", received->target.c_str());
    for (int i = 0; i < 10000; ++i) {
        HttpHeaders damaged = headers;
        std::string &numbers = damaged.fields().back().second;
        numbers[random() % numbers.size()] = static_cast<char>(random());
        decodeForwardedCall(damaged, now);
        decodeLoadReport(numbers);
        decodeRefusal(numbers);
    }
}
