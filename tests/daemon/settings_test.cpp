#include "daemon/settings.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

const std::string Valid = R"({
  "node": {"name": "registar-osijek-1", "service": "registar", "domain": "osijek"},
  "listen": {"callers": "127.0.0.1:8101", "local": "127.0.0.1:8102", "peers": "127.0.0.1:7101"},
  "server": {"address": "127.0.0.1:9000", "connections": 400},
  "plaintext": true
})";

bool hasFinding(const Findings &findings, std::string_view pointer)
{
    return std::ranges::any_of(findings, [pointer](const Finding &finding) { return finding.pointer == pointer; });
}

} // namespace

TEST_GROUP(Settings){};

// Guards against settings that are read into the wrong place.
TEST(Settings, readsAValidDocument)
{
    const Checked<Settings> settings = parseSettings(Valid, "/etc");

    CHECK(settings.has_value());
    CHECK(settings->name == NodeId("registar-osijek-1"));
    CHECK_EQUAL(7101, settings->peers.port());
    CHECK_EQUAL(400U, settings->server.connections);
    CHECK_FALSE(settings->tls.has_value());
}

// Guards against findings that come one per start of the process.
TEST(Settings, reportsAllFindingsTogether)
{
    const Checked<Settings> settings = parseSettings(R"({
      "node": {"name": "a", "service": "s", "domain": ""},
      "listen": {"callers": "nowhere", "local": "10.0.0.1:1", "peers": "127.0.0.1:7101"},
      "server": {"address": "127.0.0.1:9000", "connections": 0},
      "workers": 1000,
      "unknown": 1
    })",
                                                     "");

    CHECK_FALSE(settings.has_value());
    for (const char *pointer :
         {"/node/domain", "/listen/callers", "/listen/local", "/server/connections", "/workers", "/unknown", "/tls"}) {
        CHECK_TEXT(hasFinding(settings.error(), pointer), pointer);
    }
}

// Guards against plain text between nodes that nobody asked for.
TEST(Settings, wantsPlainTextOrTlsExplicitly)
{
    std::string text = Valid;
    text.replace(text.find("true"), 4, "false");

    CHECK_FALSE(parseSettings(text, "").has_value());
    CHECK_FALSE(parseSettings("{}", "").has_value());
    CHECK_FALSE(parseSettings("[", "").has_value());
}
