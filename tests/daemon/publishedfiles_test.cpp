#include <filesystem>
#include <fstream>
#include <sstream>

#include "core/config/configurationdocument.h"
#include "daemon/defaultheadernames.h"
#include "daemon/publishedfiles.h"

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

Configuration configurationWithVersion(std::uint64_t version)
{
    return {.version = version,
            .name = "small",
            .domains = {DomainId("north")},
            .services = {{.id = ServiceId("shelves"),
                          .pathPrefix = "/shelves/",
                          .operations = {{.id = OperationId("read"), .method = "GET", .pathPrefix = "/shelves/"}}}}};
}

constexpr const char *OneInstance = R"({"instances": [
  {"id": "a", "service": "shelves", "server": "10.0.0.1:80", "peers": "10.0.0.1:90", "domain": "north", "slots": 7}]})";

} // namespace

TEST_GROUP(PublishedFiles)
{
    const std::filesystem::path folder = std::filesystem::temp_directory_path() / ("wisteriafork-files-" + std::to_string(::getpid()));
    asio::io_context context{1};
    std::ostringstream output;
    EventLog log{LogOptions{}, output};
    Relay relay{context, RelaySettings{.node = "a", .service = ServiceId("shelves"), .headers = defaultHeaderNames()}, log, {}};
    PublishedFiles files{context, relay, log, folder / "configuration.json", folder / "instances.json"};

    void setup() override
    {
        std::filesystem::create_directories(folder);
    }

    void teardown() override
    {
        std::filesystem::remove_all(folder);
    }

    void write(const char *name, const std::string &text) const
    {
        std::ofstream(folder / name) << text;
    }

    std::size_t countInLog(const std::string &text) const
    {
        std::size_t occurrences = 0;
        const std::string all = output.str();
        for (std::size_t at = all.find(text); at != std::string::npos; at = all.find(text, at + 1)) {
            ++occurrences;
        }
        return occurrences;
    }
};

TEST(PublishedFiles, TheRelayUsesTheConfigurationAndInstancesOfTheFiles)
{
    write("configuration.json", configurationToJson(configurationWithVersion(4)));
    write("instances.json", OneInstance);

    files.reload();

    LONGS_EQUAL(4, relay.node().configurationVersion());
    LONGS_EQUAL(1, relay.node().instances().size());
    STRCMP_EQUAL(configurationToJson(configurationWithVersion(4)).c_str(), files.snapshot().c_str());
}

TEST(PublishedFiles, AnInvalidFileIsReportedAndThePreviousContentStaysInForce)
{
    write("configuration.json", configurationToJson(configurationWithVersion(4)));
    write("instances.json", OneInstance);
    files.reload();

    write("configuration.json", "{\"version\": 5}");
    write("instances.json", "{");
    files.reload();

    LONGS_EQUAL(4, relay.node().configurationVersion());
    LONGS_EQUAL(1, relay.node().instances().size());
    LONGS_EQUAL(2, countInLog("published-value-rejected"));
}

TEST(PublishedFiles, AMissingFileIsReportedOnceAndThePreviousContentStaysInForce)
{
    write("configuration.json", configurationToJson(configurationWithVersion(4)));
    write("instances.json", OneInstance);
    files.reload();

    std::filesystem::remove(folder / "instances.json");
    files.reload();
    files.reload();

    LONGS_EQUAL(1, relay.node().instances().size());
    LONGS_EQUAL(1, countInLog("source-lost"));
}

TEST(PublishedFiles, AnOlderConfigurationIsNeitherAppliedNorSentToOtherNodes)
{
    write("configuration.json", configurationToJson(configurationWithVersion(4)));
    write("instances.json", OneInstance);
    files.reload();

    write("configuration.json", configurationToJson(configurationWithVersion(3)));
    files.reload();

    LONGS_EQUAL(4, relay.node().configurationVersion());
    LONGS_EQUAL(4, parseConfiguration(files.snapshot())->version);
}

TEST(PublishedFiles, ANewerConfigurationOfAnotherNodeIsApplied)
{
    files.applyPeerSnapshot("10.0.0.2:90", configurationToJson(configurationWithVersion(9)));

    LONGS_EQUAL(9, relay.node().configurationVersion());
    LONGS_EQUAL(9, files.configuration()->version);
}
