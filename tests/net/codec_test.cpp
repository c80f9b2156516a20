#include "core/base/callclass.h"
#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/crashguard/crashmessages.h"
#include "net/codec.h"

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

// Guards against members that are lost or changed by encoding and decoding.
TEST(Codec, roundTripsMessages)
{
    for (int i = 0; i < 2000; ++i) {
        const Sample sample = randomSample(random);

        CHECK(decodeMessage<Sample>(encodeMessage(sample)) == sample);
    }
}

// Guards against crashes and large allocations on damaged input, and against accepting truncated messages or bytes after a message.
TEST(Codec, survivesDamagedMessages)
{
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = encodeMessage(randomSample(random));
        CHECK_FALSE(decodeMessage<Sample>(bytes.substr(0, random() % bytes.size())).has_value());
        CHECK_FALSE(decodeMessage<Sample>(bytes + "x").has_value());
        bytes[random() % bytes.size()] = static_cast<char>(random());
        decodeMessage<Sample>(bytes);
        decodeMessage<CrashSuspects>(bytes);
        decodeMessage<CrashSuspects>(randomText(random, 200));
    }
    // An array that claims four billion elements.
    CHECK_FALSE(decodeMessage<std::vector<Inner>>("\xdd\xff\xff\xff\xff").has_value());
}

// Guards against silent truncation of values that are out of the range of their member.
TEST(Codec, rejectsNumbersOutOfRange)
{
    CHECK_FALSE(decodeMessage<std::uint16_t>(encodeMessage(std::uint32_t{70000})).has_value());
    CHECK_FALSE(decodeMessage<std::uint32_t>(encodeMessage(std::int64_t{-1})).has_value());
}
