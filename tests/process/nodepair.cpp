#include "nodepair.h"

#include "core/config/publishedconfiguration.h"

#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>

namespace wisteriafork {

namespace {

Configuration testConfiguration()
{
    ServiceConfiguration registar{.id = ServiceId("registar"), .pathPrefix = "/registar/", .slots = 2000, .connections = 4000};
    registar.operations = {
        {.id = OperationId("shelves.read"), .method = "GET", .pathPrefix = "/registar/shelves", .callClass = CallClass::Read},
        {.id = OperationId("shelves.search"), .method = "POST", .pathPrefix = "/registar/search", .callClass = CallClass::Read},
    };
    ServiceConfiguration inspekcija{.id = ServiceId("inspekcija"), .pathPrefix = "/inspekcija/", .slots = 10, .connections = 170};
    inspekcija.operations = {{.id = OperationId("schedule.read"), .method = "GET", .pathPrefix = "/inspekcija/schedule"}};
    return {.version = 1,
            .name = "agency",
            .domains = {DomainId("osijek")},
            .services = {inspekcija, registar},
            .tenants = {{.id = TenantId("growers")}}};
}

std::string makeDirectory()
{
    std::string name = std::filesystem::temp_directory_path() / "wisteriafork-XXXXXX";
    return mkdtemp(name.data()) == nullptr ? std::string() : name;
}

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

NodePair::NodePair(const NodePairOptions &options) : server(options.longestDelay), directory(makeDirectory())
{
    std::ofstream(directory + "/configuration.json") << printPublished(publishConfiguration(testConfiguration()));
    serving = std::make_unique<NodeProcess>(directory, "serving", settings(options, false), servingPort);
    edge = std::make_unique<NodeProcess>(directory, "edge", settings(options, true), edgePort);
}

NodePair::~NodePair()
{
    edge.reset();
    serving.reset();
    std::error_code ignored;
    std::filesystem::remove_all(directory, ignored);
}

std::string NodePair::settings(const NodePairOptions &options, bool edgeNode) const
{
    const auto member = [](const char *name, const char *service, std::uint16_t port) {
        return nlohmann::json{{"name", name},       {"incarnation", 1},         {"service", service},
                              {"domain", "osijek"}, {"address", address(port)}, {"state", "live"}};
    };
    nlohmann::json json = nlohmann::json::parse("{" + options.transport + "}");
    json["node"] = {{"name", edgeNode ? "inspekcija-osijek-1" : "registar-osijek-1"},
                    {"service", edgeNode ? "inspekcija" : "registar"},
                    {"domain", "osijek"},
                    {"incarnation", 1}};
    json["listen"] = {{"callers", address(edgeNode ? edgePort : servingPort)},
                      {"local", address(edgeNode ? edgeLocalPort : servingLocalPort)},
                      {"peers", address(edgeNode ? edgePeerPort : servingPeerPort)}};
    json["server"] = {{"address", address(server.port())}, {"connections", 512}};
    json["workers"] = options.workers;
    json["drain"] = {{"graceMs", options.drainGrace.count()}, {"boundMs", 20000}};
    json["log"] = {{"level", options.logLevel}};
    json["configurationFile"] = "configuration.json";
    json["hosts"] = nlohmann::json::array(
        {{{"service", "inspekcija"}, {"version", 1}, {"members", {member("inspekcija-osijek-1", "inspekcija", edgePeerPort)}}},
         {{"service", "registar"}, {"version", 1}, {"members", {member("registar-osijek-1", "registar", servingPeerPort)}}}});
    return json.dump(2);
}

} // namespace wisteriafork
