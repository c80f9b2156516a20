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
