#include "config/samplefile.h"
#include "core/config/generator.h"
#include "core/config/routes.h"
#include "platform/publishedvalues.h"

#include "platform/base64.h"
#include "platform/nodesettings.h"
#include "platform/peersnapshot.h"

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
            + R"(,"Version":"v1","ColdRemainingS":2.5,"Sequence":4})";
    }
};

TEST(PublishedValues, AConfigurationIsReadWithKindsTimesAndWeights)
{
    const auto table = readConfiguration(PublishedText);

    CHECK(table.has_value());
    LONGS_EQUAL(28, table->routes.version());
    const Route *booking = table->routes.find("a.example", "/book/1");
    CHECK(booking->kind == RequestKind::NonIdempotent);
    CHECK(booking->timeout == 800ms);
    CHECK(booking->targetLatency == 1500ms);
    LONGS_EQUAL(2, booking->maxAttempts);
    const Route *read = table->routes.find("a.example", "/read/1");
    CHECK(read->kind == RequestKind::Idempotent);
    LONGS_EQUAL(2, read->services.size());
    DOUBLES_EQUAL(10.0, read->services[1].weight, 0.0);
    LONGS_EQUAL(1, read->maxAttempts);
    CHECK(!read->isPublic);
    POINTERS_EQUAL(nullptr, table->workspaces.get());
}

// Guards against workspaces that lose their keys, quota or priority on the way into the table, and against public routes that ask for a
// key.
TEST(PublishedValues, WorkspacesAreReadWithKeysPriorityAndQuota)
{
    const auto table = readConfiguration(R"({"Version":"00000001",
      "Tenants":[{"Name":"t-1","ApiKeys":["k-1","k-2"],"Priority":1,"RatePerS":479,"Burst":40},{"Name":"t-2","ApiKeys":["k-3"]},
                 {"Name":"t-3","ApiKeys":7},{"Name":"t-4","ApiKeys":["k-3"]}],
      "Listeners":[{"Host":"h","Rules":[{"Name":"r","Kind":"idempotent","Public":true,"Match":{"Prefix":"/r/"},
                                         "Action":{"Service":"s","TimeoutS":1}}]}]})");

    CHECK(table.has_value());
    const Workspace *first = table->workspaces->findByKey("k-2");
    STRCMP_EQUAL("t-1", first->name.c_str());
    LONGS_EQUAL(1, first->priority.value());
    DOUBLES_EQUAL(479.0, first->ratePerSecond, 0.0);
    DOUBLES_EQUAL(40.0, first->burst, 0.0);
    CHECK(!table->workspaces->findByName("t-2")->priority.has_value());
    // The malformed workspace, and the key that two workspaces hold.
    LONGS_EQUAL(2, table->findings.size());
    POINTERS_EQUAL(nullptr, table->workspaces->findByKey("k-3"));
    CHECK(table->routes.find("h", "/r/1")->isPublic);
}

// Guards against a published configuration that nodes read differently from the generated one.
TEST(PublishedValues, AGeneratedConfigurationIsReadBackFromItsPublishedValue)
{
    const auto generated = generateConfiguration(readSample("hagen.json"), 28);
    const RouteTable routes = routesOf(*generated.configuration);

    const auto table = readConfiguration(configurationToPublishedText(routes));

    CHECK(table.has_value());
    LONGS_EQUAL(28, table->routes.version());
    for (const Route &route : routes.routes()) {
        const Route *read = table->routes.find("any.example", route.prefix + "/1");
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

    const auto again = readConfiguration(configurationToPublishedText(table->routes));

    CHECK(again.has_value());
    CHECK(again->routes.routes() == table->routes.routes());
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

// Guards against a snapshot of an older node that cannot be read, or that ends the process.
TEST(PublishedValues, ASnapshotIsReadBackAndMalformedOnesAreNot)
{
    const auto items = decodeSnapshot(encodeSnapshot({{.key = "op/config", .value = "new", .creationRevision = 1, .revision = 9}}));

    LONGS_EQUAL(1, items->size());
    STRCMP_EQUAL("new", items->at(0).value.c_str());
    LONGS_EQUAL(9, items->at(0).revision);
    for (const std::string &text : {std::string("{}"), std::string("[{}]"), std::string(100'000, '['), std::string("[{\"key\":\"a\"}]")}) {
        CHECK_FALSE(decodeSnapshot(text).has_value());
    }
}

// Guards against an entry of another writer that ends the process or stops the list: nested too deep, numbers that fit no type, ports that
// do not exist, and text without end.
TEST(PublishedValues, OddEntriesOfOtherWritersAreRejected)
{
    const std::string valid = entry("ready", "60");
    const auto with = [&valid](const std::string &from, const std::string &to) {
        std::string changed = valid;
        return changed.replace(changed.find(from), from.size(), to);
    };
    const std::vector<std::string> values{
        with("\"Sequence\":4", "\"Sequence\":" + std::string(5000, '[') + std::string(5000, ']')),
        std::string(100'000, '['),
        with("60", "4294967356"),
        with("60", "18446744073709551617"),
        with("60", "1e300"),
        with("2.5", "1e308"),
        with("2.5", "\"soon\""),
        with("8301", "83010"),
        with("8301", "0"),
        with("8301", "-1"),
        with("north", std::string(1'000'000, 'n')),
        with("north", "\xff\xfe"),
        with("\"Zone\":\"north\",", ""),
        with("\"Zone\":\"north\"", "\"Zone\":\"\""),
        with("\"Zone\":\"north\"", "\"Zone\":7"),
        with("\"Version\":\"v1\"", "\"Version\":1"),
        with("\"Version\":\"v1\",", ""),
        with("\"Sequence\":4", "\"Sequence\":\"4\""),
        with("\"Sequence\":4", "\"Sequence\":-4"),
        with(",\"Sequence\":4", ""),
    };

    for (const std::string &value : values) {
        CHECK_TEXT(!readInstance("i-1", value, 7620, now).has_value(), value.substr(0, 200).c_str());
    }
    CHECK(readInstance("i-1", valid, 7620, now).has_value());
}

// Guards against an instance that is not used because the rest of its warm-up is published as a small negative number.
TEST(PublishedValues, ANegativeRestOfTheWarmUpCountsAsZero)
{
    std::string value = entry("ready", "60");
    value.replace(value.find("2.5"), 3, "-0.2");

    CHECK(readInstance("i-1", value, 7620, now)->coldUntil == now);
}

// Guards against numbers of the configuration that are narrowed or converted without a check of their range.
TEST(PublishedValues, AConfigurationWithNumbersOutOfRangeIsRejected)
{
    const std::string text = PublishedText;
    const std::vector<std::pair<std::string, std::string>> changes{{"\"MaxAttempts\":2", "\"MaxAttempts\":0"},
                                                                   {"\"MaxAttempts\":2", "\"MaxAttempts\":4294967298"},
                                                                   {"\"Priority\":2", "\"Priority\":4294967296"},
                                                                   {"\"TimeoutS\":5", "\"TimeoutS\":1e300"},
                                                                   {"\"Weight\":90", "\"Weight\":-1"},
                                                                   {"\"TargetLatencyS\":1.5", "\"TargetLatencyS\":-3"},
                                                                   {"\"Service\":\"books\"", "\"Service\":\"\""}};

    for (const auto &[from, to] : changes) {
        std::string changed = text;
        changed.replace(changed.find(from), from.size(), to);
        CHECK_TEXT(!readConfiguration(changed).has_value(), to.c_str());
    }
    CHECK_FALSE(readConfiguration(std::string(100'000, '{')).has_value());
}

// Guards against a kind of requests that this version does not know and that is therefore executed more than once.
TEST(PublishedValues, UploadsAndUnknownKindsAreExecutedAtMostOnce)
{
    std::string text = PublishedText;
    text.replace(text.find("\"non_idempotent\""), 16, "\"upload\"");
    const auto uploads = readConfiguration(text);
    text.replace(text.find("\"upload\""), 8, "\"stream\"");
    const auto unknown = readConfiguration(text);

    CHECK(uploads->routes.find("a.example", "/book/1")->kind == RequestKind::NonIdempotent);
    CHECK(uploads->unknownKinds.empty());
    CHECK(unknown->routes.find("a.example", "/book/1")->kind == RequestKind::NonIdempotent);
    LONGS_EQUAL(1, unknown->unknownKinds.count("stream"));
}

TEST(PublishedValues, TheLimitsOfCallersAreRead)
{
    std::string text = PublishedText;
    text.insert(1, R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"IdleTimeoutS":15},)");

    const auto configuration = readConfiguration(text);

    LONGS_EQUAL(16384, configuration->limits.headerBytes);
    LONGS_EQUAL(67108864, configuration->limits.bodyBytes);
    CHECK(configuration->limits.idleTime == 15s);
    LONGS_EQUAL(0, readConfiguration(PublishedText)->limits.bodyBytes);
}

// Guards against settings whose numbers are narrowed, negative or ignored without a finding.
TEST(PublishedValues, SettingsOutOfRangeAreReported)
{
    const std::vector<std::pair<std::string, std::string>> changes{{"7620,7635", "73156,73160"},
                                                                   {"7620,7635", "0"},
                                                                   {"GraceS=5", "GraceS=-5"},
                                                                   {"GraceS=5", "GraceS=soon"},
                                                                   {"\"HeartbeatS\":1.5", "\"HeartbeatS\":-1.5"},
                                                                   {"10.1.0.8:8304", "10.1.0.8:0"},
                                                                   {"\"NewField\":{}", "\"Limits\":{\"MemoryMb\":-1}"}};

    for (const auto &[from, to] : changes) {
        std::string text = Settings;
        text.replace(text.find(from), from.size(), to);
        CHECK_TEXT(!readNodeSettings(text).has_value(), to.c_str());
    }
}

TEST(PublishedValues, BoundsOfTheRetryBudgetAndTheMemoryAreReadFromTheSettings)
{
    std::string text = Settings;
    text.replace(text.find("\"Other=1\""), 9, "\"RetryBudgetRatio=0.3\",\"RetrySlack=124\",\"BudgetWindowS=20\"");
    text.replace(text.find("\"NewField\":{}"), 13, "\"Limits\":{\"MemoryMb\":160}");

    const auto settings = readNodeSettings(text);

    DOUBLES_EQUAL(0.3, settings->relay.retries.fleetRatio, 0.0);
    DOUBLES_EQUAL(124.0, settings->relay.retries.fleetSlackRetries, 0.0);
    CHECK(settings->relay.retries.window == 20s);
    LONGS_EQUAL(40 * 1024 * 1024, settings->relay.bufferBytes);
}
