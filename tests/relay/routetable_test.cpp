#include "core/relay/routetable.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

TEST_GROUP(RouteTable)
{
    static Route route(const char *name, const char *host, const char *prefix)
    {
        return {.name = name, .host = host, .prefix = prefix, .services = {{.service = ServiceId("shop")}}};
    }

    const RouteTable table{3, {route("all", "a.example", "/"), route("deep", "a.example", "/x/y/"), route("mid", "a.example", "/x/")}};

    std::string find(const char *host, const char *target) const
    {
        const Route *found = table.find(host, target);
        return found == nullptr ? "" : found->name;
    }
};

TEST(RouteTable, TheLongestMatchingPrefixIsChosen)
{
    STRCMP_EQUAL("deep", find("a.example", "/x/y/z").c_str());
    STRCMP_EQUAL("mid", find("a.example", "/x/z/y/").c_str());
    STRCMP_EQUAL("all", find("a.example", "/other").c_str());
}

TEST(RouteTable, APrefixDoesNotMatchWithinASegment)
{
    STRCMP_EQUAL("mid", find("a.example", "/x/yy").c_str());
    STRCMP_EQUAL("all", find("a.example", "/xx/").c_str());
}

TEST(RouteTable, AnUnknownHostHasNoRoute)
{
    STRCMP_EQUAL("", find("b.example", "/x/").c_str());
}

TEST(RouteTable, PortAndCaseOfTheHostAndTheQueryAreIgnored)
{
    STRCMP_EQUAL("mid", find("A.Example:80", "/x/?p=/x/y/").c_str());
}

TEST(RouteTable, ATargetWithoutSlashHasNoRoute)
{
    STRCMP_EQUAL("", find("a.example", "*").c_str());
    STRCMP_EQUAL("", find("a.example", "").c_str());
}
