#include "core/base/hashing.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

TEST_GROUP(Hashing){};

// Guards against two requests with different fields being taken for one.
TEST(Hashing, separatesPartsByLength)
{
    const std::array<std::string_view, 2> first{"ab", "c"};
    const std::array<std::string_view, 2> second{"a", "bc"};

    CHECK(hashParts(first) != hashParts(second));
}

// Guards against nodes that disagree on the order of members for a key.
TEST(Hashing, ranksMembersInAStrictOrder)
{
    const std::array<std::string_view, 1> part{"order-17"};
    const RequestKey key = hashParts(part);
    const NodeId first("registar-osijek-1");
    const NodeId second("registar-vukovar-1");

    CHECK(outranks(key, first, second) != outranks(key, second, first));
    CHECK_FALSE(outranks(key, first, first));
}
