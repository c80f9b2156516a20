#include "core/config/callclassname.h"
#include "core/config/configurationdocument.h"
#include "core/config/routes.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

std::string anyText()
{
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~')));
}

std::chrono::milliseconds anyDuration()
{
    return std::chrono::milliseconds(*rc::gen::inRange(1, 600'000));
}

ServiceConfiguration anyService(int number)
{
    ServiceConfiguration service;
    service.id = ServiceId(std::to_string(number) + anyText());
    service.pathPrefix = anyText();
    service.slots = *rc::gen::inRange(1U, 1000U);
    service.connections = *rc::gen::inRange(1U, 1000U);
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        service.operations.push_back({.id = OperationId(std::to_string(count) + anyText()),
                                      .method = anyText(),
                                      .pathPrefix = anyText(),
                                      .callClass = *rc::gen::element(CallClass::Bulk, CallClass::Read, CallClass::Critical),
                                      .idempotent = *rc::gen::arbitrary<bool>(),
                                      .callerWait = anyDuration(),
                                      .targetLatency = anyDuration(),
                                      .calls = {ServiceId(anyText())}});
    }
    return service;
}

Configuration bookingConfiguration()
{
    return {.version = 7,
            .name = "small",
            .host = "api.example",
            .domains = {DomainId("osijek")},
            .services = {{.id = ServiceId("shelves"),
                          .pathPrefix = "/shelves/",
                          .slots = 2,
                          .connections = 4,
                          .operations = {{.id = OperationId("book"),
                                          .method = "POST",
                                          .pathPrefix = "/shelves/bookings",
                                          .callClass = CallClass::Critical,
                                          .idempotent = false,
                                          .callerWait = 2000ms,
                                          .targetLatency = 500ms},
                                         {.id = OperationId("read"),
                                          .method = "GET",
                                          .pathPrefix = "/shelves/bookings",
                                          .callerWait = 1000ms,
                                          .targetLatency = 300ms}}}}};
}

} // namespace

TEST_GROUP(ConfigurationDocument){};

// Guards against a node that reads a configuration that differs from the generated one.
TEST(ConfigurationDocument, parsingReturnsTheFormattedConfiguration)
{
    CHECK(rc::check("configuration", [] {
        Configuration configuration{
            .version = *rc::gen::inRange<std::uint64_t>(1, 1'000'000), .name = anyText(), .domains = {DomainId(anyText())}};
        configuration.host = *rc::gen::element<std::string>("", "api.example");
        configuration.workspaces = {WorkspaceId(anyText())};
        for (int number = 0; number < 3; ++number) {
            configuration.services.push_back(anyService(number));
        }
        const auto parsed = parseConfiguration(configurationToJson(configuration));
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(*parsed == configuration);
    }));
}

// Guards against a parser that stops at the first error, and against a duplicate member that silently replaces the earlier one.
TEST(ConfigurationDocument, reportsAllFindingsWithTheirLines)
{
    const auto parsed = parseConfiguration("{\n\"version\": 0,\n\"name\": \"a\",\n\"domains\": [],\n\"services\": [\n"
                                           "{\"id\": \"a\", \"slots\": -1,\n\"connections\": 1, \"operations\": []}],\n\"speed\": 3}");

    CHECK_FALSE(parsed.has_value());
    LONGS_EQUAL(4, parsed.error().size());
    STRCMP_EQUAL("/version", parsed.error()[0].pointer.c_str());
    LONGS_EQUAL(2, parsed.error()[0].line);
    LONGS_EQUAL(8, parsed.error()[3].line);
    const auto duplicate = parseConfiguration("{\"version\": 1\n,\n\"version\": 2}");
    CHECK_FALSE(duplicate.has_value());
    LONGS_EQUAL(3, duplicate.error()[0].line);
    CHECK_FALSE(parseConfiguration("").has_value());
    CHECK_FALSE(parseConfiguration(std::string(100'000, '[')).has_value());
}

// Guards against two services with the same id, of which a node would serve only one.
TEST(ConfigurationDocument, rejectsAServiceThatOccursTwice)
{
    Configuration configuration = bookingConfiguration();
    configuration.services.push_back(configuration.services.front());

    CHECK_FALSE(parseConfiguration(configurationToJson(configuration)).has_value());
}

// Guards against names and priorities of call classes that cannot be converted back.
TEST(ConfigurationDocument, convertsCallClassesToNamesAndPrioritiesAndBack)
{
    for (const CallClass callClass : {CallClass::Bulk, CallClass::Read, CallClass::Critical}) {
        CHECK(parseCallClass(callClassName(callClass)) == callClass);
        CHECK(classOfPriority(priorityOfClass(callClass)) == callClass);
    }
    CHECK_FALSE(parseCallClass("Read").has_value());
}

// Guards against a booking that gets the route of the read at the same path, so that it would be retried or shed with the reads.
TEST(ConfigurationDocument, givesEachOperationARouteOfItsOwn)
{
    const RouteTable table = routesOf(bookingConfiguration());

    const Route *book = table.find("api.example:80", "/shelves/bookings", "POST");
    const Route *read = table.find("api.example", "/shelves/bookings/17?full=1", "GET");
    CHECK(book != nullptr && read != nullptr);
    const Route booking = book != nullptr ? *book : Route{};
    const Route reading = read != nullptr ? *read : Route{};
    STRCMP_EQUAL("shelves/book", booking.name.c_str());
    CHECK(booking.kind == RequestKind::NonIdempotent);
    LONGS_EQUAL(0, booking.priority);
    CHECK(booking.timeout == 2000ms);
    CHECK(booking.targetLatency == 500ms);
    CHECK(reading.kind == RequestKind::Idempotent);
    LONGS_EQUAL(1, reading.priority);
    STRCMP_EQUAL("read", parseRouteName(reading.name).operation.value().c_str());
    POINTERS_EQUAL(nullptr, table.find("api.example", "/shelves/bookings", "DELETE"));
    POINTERS_EQUAL(nullptr, table.find("api.example", "/shelves/bookings-old", "GET"));
    POINTERS_EQUAL(nullptr, table.find("other.example", "/shelves/bookings", "GET"));
}

// Guards against routes for every host name that match no host name.
TEST(ConfigurationDocument, routesWithoutAHostMatchEveryHost)
{
    Configuration configuration = bookingConfiguration();
    configuration.host.clear();

    CHECK(routesOf(configuration).find("127.0.0.1:8101", "/shelves/bookings", "GET") != nullptr);
}
