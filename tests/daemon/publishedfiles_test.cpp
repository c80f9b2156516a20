#include <filesystem>
#include <fstream>
#include <sstream>

#include "core/config/configurationdocument.h"
#include "daemon/ownheadernames.h"
#include "daemon/publishedfiles.h"

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

Configuration configurationOf(std::uint64_t version)
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
    Relay relay{context, RelaySettings{.node = "a", .service = ServiceId("shelves"), .headers = ownHeaderNames()}, log, {}};
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

    std::size_t count(const std::string &text) const
    {
        std::size_t found = 0;
        const std::string all = output.str();
        for (std::size_t at = all.find(text); at != std::string::npos; at = all.find(text, at + 1)) {
            ++found;
        }
        return found;
    }
};

TEST(PublishedFiles, ARelayServesWhatTheFilesSay)
{
    write("configuration.json", configurationToJson(configurationOf(4)));
    write("instances.json", OneInstance);

    files.reread();

    LONGS_EQUAL(4, relay.node().configurationVersion());
    LONGS_EQUAL(1, relay.node().instances().size());
    STRCMP_EQUAL(configurationToJson(configurationOf(4)).c_str(), files.snapshot().c_str());
}

TEST(PublishedFiles, AFileWithErrorsChangesNothingAndIsReported)
{
    write("configuration.json", configurationToJson(configurationOf(4)));
    write("instances.json", OneInstance);
    files.reread();

    write("configuration.json", "{\"version\": 5}");
    write("instances.json", "{");
    files.reread();

    LONGS_EQUAL(4, relay.node().configurationVersion());
    LONGS_EQUAL(1, relay.node().instances().size());
    LONGS_EQUAL(2, count("published-value-rejected"));
}

TEST(PublishedFiles, AMissingFileIsReportedOnceAndItsContentStaysInForce)
{
    write("configuration.json", configurationToJson(configurationOf(4)));
    write("instances.json", OneInstance);
    files.reread();

    std::filesystem::remove(folder / "instances.json");
    files.reread();
    files.reread();

    LONGS_EQUAL(1, relay.node().instances().size());
    LONGS_EQUAL(1, count("source-lost"));
}

TEST(PublishedFiles, AnOlderConfigurationIsNotPassedOnToOtherNodes)
{
    write("configuration.json", configurationToJson(configurationOf(4)));
    write("instances.json", OneInstance);
    files.reread();

    write("configuration.json", configurationToJson(configurationOf(3)));
    files.reread();

    LONGS_EQUAL(4, relay.node().configurationVersion());
    LONGS_EQUAL(4, parseConfiguration(files.snapshot())->version);
}

TEST(PublishedFiles, ANewerConfigurationOfAnotherNodeIsTakenOver)
{
    files.takeSnapshot("10.0.0.2:90", configurationToJson(configurationOf(9)));

    LONGS_EQUAL(9, relay.node().configurationVersion());
    LONGS_EQUAL(9, files.configuration()->version);
}
