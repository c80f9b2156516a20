#include "config/samplefile.h"
#include "core/config/generator.h"
#include "core/config/routes.h"
#include "platform/publishedvalues.h"

#include "platform/base64.h"
#include "platform/nodesettings.h"
#include "platform/publishedstate.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char *PublishedText = R"({"Version":"0000001c","Listeners":[{"Host":"a.example","Rules":[
  {"Name":"r-1","Kind":"non_idempotent","TargetLatencyS":1.5,"Priority":0,"Match":{"Prefix":"/book/"},
   "Action":{"Service":"books","TimeoutS":0.8,"MaxAttempts":2}},
  {"Name":"r-2","Kind":"idempotent","TargetLatencyS":1.2,"Priority":2,"Match":{"Prefix":"/read/"},
   "Action":{"WeightedBackends":[{"Service":"a","Weight":90},{"Service":"b","Weight":10}],"TimeoutS":5}}]}]})";

constexpr const char *Settings = R"({"Node":"n-1","Service":"shop","Zone":"north","AppAddr":"10.1.0.8:8301","PortRange":[7620,7635],
  "Listen":{"Outbound":"10.1.0.8:8304","ReadinessAddr":"10.1.0.8:8302"},"Seeds":["10.2.0.3:8303"],
  "Platform":{"Address":"10.200.1.7:8309"},"HeartbeatS":1.5,"Bounds":["GraceS=5","Other=1"],"NewField":{}})";

} // namespace

TEST_GROUP(PublishedValues)
{
    const TimePoint now{24h};

    static std::string entry(const char *state, const char *slots)
    {
        return std::string(R"({"Service":"shop","Address":"10.1.0.8:8301","Zone":"north","State":")") + state + R"(","Slots":)" + slots
            + R"(,"ColdRemainingS":2.5,"Sequence":4})";
    }
};

TEST(PublishedValues, AConfigurationIsReadWithKindsTimesAndWeights)
{
    const auto table = readConfiguration(PublishedText);

    CHECK(table.has_value());
    LONGS_EQUAL(28, table->version());
    const Route *booking = table->find("a.example", "/book/1");
    CHECK(booking->kind == RequestKind::NonIdempotent);
    CHECK(booking->timeout == 800ms);
    CHECK(booking->targetLatency == 1500ms);
    LONGS_EQUAL(2, booking->maxAttempts);
    const Route *read = table->find("a.example", "/read/1");
    CHECK(read->kind == RequestKind::Idempotent);
    LONGS_EQUAL(2, read->services.size());
    DOUBLES_EQUAL(10.0, read->services[1].weight, 0.0);
    LONGS_EQUAL(1, read->maxAttempts);
}

// Guards against a published configuration that nodes read differently from the generated one.
TEST(PublishedValues, AGeneratedConfigurationIsReadBackFromItsPublishedValue)
{
    const auto generated = generateConfiguration(readSample("hagen.json"), 28);
    const RouteTable routes = routesOf(*generated.configuration);

    const auto table = readConfiguration(configurationToPublishedText(routes));

    CHECK(table.has_value());
    LONGS_EQUAL(28, table->version());
    for (const Route &route : routes.routes()) {
        const Route *read = table->find("any.example", route.prefix + "/1");
        CHECK_TEXT(read != nullptr, route.name.c_str());
        const Route found = read != nullptr ? *read : Route{};
        CHECK_TEXT(found.services == route.services, route.name.c_str());
        CHECK_TEXT(found.timeout >= route.timeout && found.targetLatency >= route.targetLatency, route.name.c_str());
        CHECK_TEXT(found.priority <= route.priority && found.maxAttempts <= route.maxAttempts, route.name.c_str());
        CHECK_TEXT(found.kind == route.kind || found.kind == RequestKind::NonIdempotent, route.name.c_str());
    }
}

TEST(PublishedValues, AConfigurationKeepsItsRulesWhenItIsPublishedAgain)
{
    const auto table = readConfiguration(PublishedText);

    const auto again = readConfiguration(configurationToPublishedText(*table));

    CHECK(again.has_value());
    CHECK(again->routes() == table->routes());
}

TEST(PublishedValues, AConfigurationWithAMalformedRuleIsRejectedAsAWhole)
{
    std::string broken = PublishedText;
    broken.replace(broken.find("\"TimeoutS\":5"), 12, "\"TimeoutS\":0");

    CHECK_FALSE(readConfiguration(broken).has_value());
    CHECK_FALSE(readConfiguration("{").has_value());
    CHECK_FALSE(readConfiguration(R"({"Version":"xyz","Listeners":[]})").has_value());
}

TEST(PublishedValues, AnEntryIsReadWithTheAddressOfTheNodeBesideTheInstance)
{
    const auto instance = readInstance("i-1", entry("ready", "60"), 7620, now);

    CHECK(instance.has_value());
    STRCMP_EQUAL("10.1.0.8:7620", instance->peerAddress.c_str());
    LONGS_EQUAL(60, instance->slots);
    CHECK_FALSE(instance->draining);
    CHECK(instance->coldUntil == now + 2500ms);
    CHECK(readInstance("i-1", entry("draining", "60"), 7620, now)->draining);
}

TEST(PublishedValues, MalformedEntriesAreRejected)
{
    for (const std::string &value :
         {std::string("\xff\xfe"), std::string("[]"), entry("sleeping", "60"), entry("ready", "\"60\""), entry("ready", "0"),
          std::string(R"({"Service":7,"Address":"10.1.0.8:1","State":"ready","Slots":1})")}) {
        CHECK_FALSE(readInstance("i-1", value, 7620, now).has_value());
    }
}

TEST(PublishedValues, Base64WithPaddingIsDecodedAndOtherTextIsNot)
{
    STRCMP_EQUAL("a", decodeBase64("YQ==")->c_str());
    STRCMP_EQUAL("abc", decodeBase64("YWJj")->c_str());
    CHECK(decodeBase64("")->empty());
    CHECK_FALSE(decodeBase64("YQ=").has_value());
    CHECK_FALSE(decodeBase64("Y!==").has_value());
}

TEST(PublishedValues, SettingsOfThePlatformAreReadAndUnknownFieldsIgnored)
{
    const auto settings = readNodeSettings(Settings);

    CHECK(settings.has_value());
    STRCMP_EQUAL("n-1", settings->relay.node.c_str());
    LONGS_EQUAL(7620, settings->relay.peerEndpoint.port());
    STRCMP_EQUAL("10.2.0.3:7620", settings->seedAddresses.at(0).c_str());
    CHECK(settings->relay.stop.gracePeriod == 5s);
    CHECK(settings->relay.directory.outageBeforeExpiry == 3s);
}

TEST(PublishedValues, AllProblemsOfTheSettingsAreReportedTogether)
{
    const auto settings = readNodeSettings(R"({"Node":"n-1","AppAddr":"nowhere","Listen":{}})");

    CHECK_FALSE(settings.has_value());
    CHECK(settings.error().size() >= 5);
}

TEST(PublishedValues, AnItemOfAnOlderRevisionNeverReplacesANewerOne)
{
    PublishedState state;
    CHECK(state.insertIfNewer({.key = "op/config", .value = "new", .creationRevision = 1, .revision = 9}));

    CHECK_FALSE(state.insertIfNewer({.key = "op/config", .value = "old", .creationRevision = 1, .revision = 8}));

    const auto items = PublishedState::decode(state.encode());
    LONGS_EQUAL(1, items->size());
    STRCMP_EQUAL("new", items->at(0).value.c_str());
    LONGS_EQUAL(9, items->at(0).revision);
    CHECK_FALSE(PublishedState::decode("{}").has_value());
}

TEST(PublishedValues, ReplacingTheItemsOfAPrefixKeepsOtherKeys)
{
    PublishedState state;
    state.insertIfNewer({.key = "op/config", .value = "c", .revision = 1});
    state.insertIfNewer({.key = "servers/a", .value = "a", .revision = 2});

    state.replaceItems("servers/", {{.key = "servers/b", .value = "b", .revision = 3}});

    const auto items = PublishedState::decode(state.encode());
    LONGS_EQUAL(2, items->size());
    STRCMP_EQUAL("servers/b", items->at(1).key.c_str());
}
