#include "core/config/callclassname.h"
#include "core/config/publishedconfiguration.h"
#include "core/config/slices.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

std::string anyText()
{
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~')));
}

std::chrono::milliseconds anyTime()
{
    return std::chrono::milliseconds(*rc::gen::inRange(1, 600'000));
}

ServiceConfiguration anyService()
{
    ServiceConfiguration service;
    service.id = ServiceId(anyText());
    service.pathPrefix = anyText();
    service.slots = *rc::gen::inRange(1U, 1000U);
    service.connections = *rc::gen::inRange(1U, 1000U);
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        service.operations.push_back({.id = OperationId(std::to_string(count) + anyText()),
                                      .method = anyText(),
                                      .pathPrefix = anyText(),
                                      .callClass = *rc::gen::element(CallClass::Bulk, CallClass::Read, CallClass::Critical),
                                      .idempotent = *rc::gen::arbitrary<bool>(),
                                      .identity = {.headers = {anyText()}, .bodyFields = {anyText(), anyText()}},
                                      .callerWait = anyTime(),
                                      .resendTime = anyTime(),
                                      .calls = {ServiceId(anyText())}});
    }
    return service;
}

Configuration smallConfiguration()
{
    return {.version = 7,
            .name = "small",
            .domains = {DomainId("osijek")},
            .services = {{.id = ServiceId("a"), .pathPrefix = "/a/", .slots = 2, .connections = 4, .operations = {}},
                         {.id = ServiceId("b"), .pathPrefix = "/b/", .slots = 2, .connections = 4, .operations = {}}},
            .tenants = {{.id = TenantId("growers"), .weight = 1.5}},
            .bounds = {}};
}

} // namespace

TEST_GROUP(Slices){};

// Guards against a node that reads something else than what was published.
TEST(Slices, readWhatWasPrinted)
{
    CHECK(rc::check("service slice", [] {
        const ServiceConfiguration service = anyService();
        const auto parsed = parseServiceSlice(printServiceSlice(service));
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(*parsed == service);
    }));
    CHECK(rc::check("common slice", [] {
        const CommonSlice common{.name = anyText(),
                                 .domains = {DomainId(anyText())},
                                 .tenants = {{.id = TenantId(anyText()), .weight = *rc::gen::inRange(1, 9000) / 7.0}},
                                 .bounds = {.pauseBound = anyTime(), .hostListLag = anyTime(), .isolationBound = anyTime()}};
        const auto parsed = parseCommonSlice(printCommonSlice(common));
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(*parsed == common);
    }));
}

// Guards against reading only up to the first problem.
TEST(Slices, reportAllFindingsWithTheirLines)
{
    const auto parsed
        = parseServiceSlice("{\n\"id\": \"a\",\n\"slots\": -1,\n\"connections\": \"many\",\n\"operations\": [],\n\"speed\": 3}");

    CHECK_FALSE(parsed.has_value());
    LONGS_EQUAL(4, parsed.error().size());
    STRCMP_EQUAL("member \"pathPrefix\" is missing", parsed.error()[0].message.c_str());
    STRCMP_EQUAL("/slots", parsed.error()[1].pointer.c_str());
    LONGS_EQUAL(3, parsed.error()[1].line);
    LONGS_EQUAL(4, parsed.error()[2].line);
    STRCMP_EQUAL("/speed", parsed.error()[3].pointer.c_str());
}

// Guards against a document whose later member silently replaces an earlier one, and against a wrong line after a number.
TEST(Slices, rejectDuplicateMembersAndBrokenText)
{
    const auto duplicate = parseIndex("{\"version\": 1\n,\n\"version\": 2, \"slices\": {}}");
    CHECK_FALSE(duplicate.has_value());
    STRCMP_EQUAL("/version", duplicate.error()[0].pointer.c_str());
    LONGS_EQUAL(3, duplicate.error()[0].line);

    const auto broken = parseIndex("{\"version\": 1,\n \"slices\": }");
    CHECK_FALSE(broken.has_value());
    LONGS_EQUAL(2, broken.error()[0].line);
    CHECK_FALSE(parseIndex("").has_value());
    CHECK_FALSE(parseIndex(std::string(100'000, '[')).has_value());
}

// Guards against an index without common part, with a hash of another form or with a slice from the future.
TEST(Slices, checkTheIndex)
{
    const auto parsed = parseIndex(R"({"version": 3, "slices": {"a": {"version": 4, "hash": "00FF"}}})");

    CHECK_FALSE(parsed.has_value());
    LONGS_EQUAL(3, parsed.error().size());
}

// Guards against a slice version that grows although the content is the same, which would make every node fetch it again.
TEST(Slices, keepTheVersionOfUnchangedContent)
{
    Configuration configuration = smallConfiguration();
    const PublishedConfiguration first = publishConfiguration(configuration);
    configuration.version = 8;
    configuration.services[1].slots = 3;

    const PublishedConfiguration second = publishConfiguration(configuration, &first);

    LONGS_EQUAL(7, second.index.slices.at("a").version);
    LONGS_EQUAL(8, second.index.slices.at("b").version);
    LONGS_EQUAL(7, second.index.slices.at("_common").version);
    LONGS_EQUAL(4, platformValues(second).size());
}

// Guards against a partial or altered configuration being taken for a whole one.
TEST(Slices, readAWholeConfigurationOnly)
{
    const Configuration configuration = smallConfiguration();
    const PublishedConfiguration published = publishConfiguration(configuration);

    const auto reread = parsePublished(printPublished(published));
    CHECK(reread.has_value());
    CHECK(*reread == published);
    CHECK(*readPublished(published) == configuration);

    PublishedConfiguration partial = published;
    partial.slices.erase("b");
    CHECK_FALSE(readPublished(partial).has_value());
    PublishedConfiguration altered = published;
    altered.slices["a"].append(" ");
    CHECK_FALSE(readPublished(altered).has_value());
}

// Guards against a class name that is written but not understood.
TEST(Slices, nameEachClass)
{
    for (const CallClass callClass : {CallClass::Bulk, CallClass::Read, CallClass::Critical}) {
        CHECK(parseCallClass(callClassName(callClass)) == callClass);
    }
    CHECK_FALSE(parseCallClass("Read").has_value());
}
