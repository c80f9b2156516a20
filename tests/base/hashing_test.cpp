#include "core/base/hashing.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

TEST_GROUP(Hashing){};

// Guards against requests with different fields that have the same fingerprint.
TEST(Hashing, separatesPartsByLength)
{
    const std::array<std::string_view, 2> first{"ab", "c"};
    const std::array<std::string_view, 2> second{"a", "bc"};

    CHECK(hashParts(first) != hashParts(second));
}
