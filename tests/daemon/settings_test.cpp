#include <algorithm>

#include "daemon/instancelist.h"
#include "daemon/settings.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

const std::string ValidSettings = R"({
  "node": {"name": "registar-osijek-1", "service": "registar", "domain": "osijek"},
  "listen": {"callers": "127.0.0.1:8101", "peers": "127.0.0.1:7101", "readiness": "127.0.0.1:7102"},
  "server": {"address": "127.0.0.1:9000"},
  "configuration": "configuration.json",
  "instances": "/run/instances.json",
  "stop": {"graceMs": 9000},
  "plaintext": true
})";

bool hasFinding(const Findings &findings, std::string_view pointer)
{
    return std::ranges::any_of(findings, [pointer](const Finding &finding) { return finding.pointer == pointer; });
}

} // namespace

TEST_GROUP(Settings){};

// Guards against a setting that is assigned to the wrong field.
TEST(Settings, readsAValidDocument)
{
    const ValueOrFindings<Settings> settings = parseSettings(ValidSettings, "/etc");

    CHECK(settings.has_value());
    STRCMP_EQUAL("registar-osijek-1", settings->relay.node.c_str());
    LONGS_EQUAL(8101, settings->relay.callerEndpoint.port());
    LONGS_EQUAL(7101, settings->relay.peerEndpoint.port());
    LONGS_EQUAL(9000, settings->relay.serverEndpoint.port());
    CHECK(settings->relay.stop.gracePeriod == 9s);
    STRCMP_EQUAL("/etc/configuration.json", settings->configurationFile.c_str());
    STRCMP_EQUAL("/run/instances.json", settings->instancesFile.c_str());
    CHECK_FALSE(settings->tls.has_value());
}

// Guards against reporting only the first finding, so that an operator has to start the node once per error.
TEST(Settings, reportsAllFindingsTogether)
{
    const ValueOrFindings<Settings> settings = parseSettings(R"({
      "node": {"name": "a", "service": "s", "domain": ""},
      "listen": {"callers": "nowhere", "peers": "127.0.0.1:7101"},
      "server": {"address": "127.0.0.1:9000"},
      "stop": {"graceMs": 10},
      "configuration": "c.json",
      "unknown": 1
    })",
                                                             "");

    CHECK_FALSE(settings.has_value());
    for (const char *pointer : {"/node/domain", "/listen/callers", "/listen", "/stop/graceMs", "", "/unknown", "/tls"}) {
        CHECK_TEXT(hasFinding(settings.error(), pointer), pointer);
    }
}

// Guards against unencrypted sessions between nodes that the settings do not request explicitly.
TEST(Settings, requiresEitherPlainTextOrTls)
{
    std::string text = ValidSettings;
    text.replace(text.find("true"), 4, "false");

    CHECK_FALSE(parseSettings(text, "").has_value());
    CHECK_FALSE(parseSettings("{}", "").has_value());
    CHECK_FALSE(parseSettings("[", "").has_value());
}

TEST_GROUP(InstanceList){};

// Guards against mixing up the members of an entry, for example the addresses of the backend server and of the node.
TEST(InstanceList, readsEachEntry)
{
    const auto instances = parseInstanceList(R"({"instances": [
      {"id": "a", "service": "s", "server": "10.0.0.1:80", "peers": "10.0.0.1:90", "domain": "north", "slots": 7},
      {"id": "b", "service": "s", "server": "10.0.0.1:80", "peers": "10.0.0.1:90", "domain": "north", "slots": 7, "draining": true}]})");

    CHECK(instances.has_value());
    LONGS_EQUAL(2, instances->size());
    STRCMP_EQUAL("10.0.0.1:80", instances->at(0).address.c_str());
    STRCMP_EQUAL("10.0.0.1:90", instances->at(0).peerAddress.c_str());
    LONGS_EQUAL(7, instances->at(0).slots);
    CHECK_FALSE(instances->at(0).draining);
    CHECK(instances->at(1).draining);
    CHECK(instances->at(1).listRevision > instances->at(0).listRevision);
}

// Guards against applying the valid entries of a list that also has invalid ones.
TEST(InstanceList, rejectsAListWithErrorsAsAWhole)
{
    const auto instances = parseInstanceList(R"({"instances": [
      {"id": "a", "service": "s", "server": "here", "peers": "10.0.0.1:90", "domain": "north", "slots": 0},
      {"id": "a", "service": "s", "server": "10.0.0.1:80", "peers": "10.0.0.1:90", "domain": "north", "slots": 7}]})");

    CHECK_FALSE(instances.has_value());
    for (const char *pointer : {"/instances/0/server", "/instances/0/slots", "/instances/1/id"}) {
        CHECK_TEXT(hasFinding(instances.error(), pointer), pointer);
    }
    CHECK_FALSE(parseInstanceList("{}").has_value());
}
