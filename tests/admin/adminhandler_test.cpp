#include "admin/adminhandler.h"
#include "admin/dryrun.h"
#include "admin/runningserver.h"
#include "admin/schema.h"
#include "config/samplefile.h"
#include "core/config/generator.h"

#include <set>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using nlohmann::json;

namespace {

const json &schemaDocument()
{
    static const json document = json::parse(administrationSchema());
    return document;
}

bool isOfType(const json &value, const std::string &type)
{
    return (type == "string" && value.is_string()) || (type == "integer" && value.is_number_integer())
        || (type == "number" && value.is_number()) || (type == "boolean" && value.is_boolean()) || (type == "null" && value.is_null())
        || (type == "object" && value.is_object()) || (type == "array" && value.is_array());
}

std::string childPlace(std::string place, const std::string &name)
{
    return place.append("/").append(name);
}

// Describes the first place where a value does not match a schema; empty if there is none. Supports the keywords that openapi.json uses.
std::string findMismatch(const json &value, const json &schema, const std::string &place = "")
{
    if (schema.contains("$ref")) {
        const std::string reference = schema["$ref"];
        return findMismatch(value, schemaDocument()["components"]["schemas"].at(reference.substr(reference.rfind('/') + 1)), place);
    }
    if (schema.contains("type")) {
        const json types = schema["type"].is_array() ? schema["type"] : json::array({schema["type"]});
        bool matches = false;
        for (const std::string type : types) {
            matches = matches || isOfType(value, type);
        }
        if (!matches) {
            return place + " is of another type";
        }
    }
    if (schema.contains("enum") && std::find(schema["enum"].begin(), schema["enum"].end(), value) == schema["enum"].end()) {
        return place + " has a value that is not listed";
    }
    for (const std::string name : schema.value("required", json::array())) {
        if (!value.contains(name)) {
            return childPlace(place, name) + " is missing";
        }
    }
    static const json none = json::object();
    for (const auto &[name, member] : (value.is_object() ? value : none).items()) {
        if (schema.contains("properties") && schema["properties"].contains(name)) {
            std::string inner = findMismatch(member, schema["properties"][name], childPlace(place, name));
            if (!inner.empty()) {
                return inner;
            }
        } else if (!schema.value("additionalProperties", true)) {
            return childPlace(place, name) + " is not in the schema";
        }
    }
    for (std::size_t index = 0; value.is_array() && schema.contains("items") && index < value.size(); ++index) {
        std::string inner = findMismatch(value[index], schema["items"], childPlace(place, std::to_string(index)));
        if (!inner.empty()) {
            return inner;
        }
    }
    return {};
}

// Checks the body of a response against the schema that openapi.json gives for its path, method and status.
void expectSchema(const AdminRequest &request, const AdminResponse &response)
{
    std::string method = request.method;
    std::transform(method.begin(), method.end(), method.begin(), [](unsigned char character) { return std::tolower(character); });
    const std::string path = request.target.substr(0, request.target.find('?'));
    const json &responses = schemaDocument()["paths"].at(path).at(method)["responses"];
    const json &schema = responses.at(std::to_string(response.status)).at("content").at("application/json").at("schema");
    STRCMP_EQUAL("", findMismatch(json::parse(response.body), schema).c_str());
}

} // namespace

TEST_GROUP(AdminHandler)
{
    FakeSource m_source;
    AdminHandler m_handler{testOptions().tokens, m_source};

    AdminResponse sendRequest(const std::string &method, const std::string &target, const std::string &secret, const std::string &body = {})
    {
        const AdminRequest request{
            .method = method, .target = target, .authorization = secret.empty() ? "" : "Bearer " + secret, .body = body};
        return m_handler.handle(request);
    }

    unsigned statusOf(const std::string &method, const std::string &target, const std::string &secret)
    {
        return sendRequest(method, target, secret).status;
    }
};

// Guards against a path that is served without a token or with one that only resembles a known one.
TEST(AdminHandler, needsAKnownTokenForEachPath)
{
    for (const AdminRoute &route : adminRoutes()) {
        for (const std::string secret : {"", "reader-secret-0002", "reader-secret-000", "reader-secret-0001x", " reader-secret-0001"}) {
            LONGS_EQUAL(401, statusOf(std::string(route.method), std::string(route.path), secret));
        }
    }
    LONGS_EQUAL(401, statusOf("GET", "/unknown", ""));
    LONGS_EQUAL(401, m_handler.handle({.method = "GET", .target = "/v1/status", .authorization = "Basic reader-secret-0001"}).status);
    LONGS_EQUAL(200, m_handler.handle({.method = "GET", .target = "/v1/status", .authorization = "bearer reader-secret-0001"}).status);
}

// Guards against a node that is drained with a reader's token.
TEST(AdminHandler, needsOperatorRightsToDrain)
{
    LONGS_EQUAL(403, statusOf("POST", "/v1/drain", "reader-secret-0001"));
    CHECK_FALSE(m_source.draining);
    LONGS_EQUAL(202, statusOf("POST", "/v1/drain", "operator-secret-01"));
    CHECK(m_source.draining);
    LONGS_EQUAL(403, statusOf("POST", "/v1/undrain", "reader-secret-0001"));
    LONGS_EQUAL(202, statusOf("POST", "/v1/undrain", "operator-secret-01"));
    CHECK_FALSE(m_source.draining);
}

// Guards against a limited token that reads the data of other workspaces or drains the node.
TEST(AdminHandler, keepsLimitedTokensToTheirWorkspaces)
{
    const std::string secret = "growers-secret-001";
    for (const AdminRoute &route : adminRoutes()) {
        if (!route.allowsLimitedTokens) {
            LONGS_EQUAL(403, statusOf(std::string(route.method), std::string(route.path), secret));
        }
    }
    CHECK_FALSE(m_source.draining);
    LONGS_EQUAL(403, statusOf("GET", "/v1/outcomes?workspace=inspectors", secret));
    STRCMP_EQUAL(sendRequest("GET", "/v1/outcomes?workspace=inspectors", secret).body.c_str(),
                 sendRequest("GET", "/v1/outcomes?workspace=no-such-workspace", secret).body.c_str());

    const json own = json::parse(sendRequest("GET", "/v1/outcomes", secret).body);
    LONGS_EQUAL(1, own["rows"].size());
    STRCMP_EQUAL("growers", own["rows"][0]["workspace"].get<std::string>().c_str());
    LONGS_EQUAL(0, own["lastOverloads"].size());
    LONGS_EQUAL(2, json::parse(sendRequest("GET", "/v1/outcomes", "reader-secret-0001").body)["rows"].size());
    LONGS_EQUAL(1, json::parse(sendRequest("GET", "/v1/outcomes?workspace=grow%65rs", "reader-secret-0001").body)["rows"].size());
}

// Guards against malformed targets and queries that are served instead of refused.
TEST(AdminHandler, refusesMalformedTargets)
{
    const std::string secret = "reader-secret-0001";
    LONGS_EQUAL(404, statusOf("GET", "/v1/status/", secret));
    LONGS_EQUAL(404, statusOf("GET", "", secret));
    LONGS_EQUAL(405, statusOf("POST", "/v1/status", secret));
    for (const std::string target : {"/v1/status?workspace=growers", "/v1/outcomes?workspace=", "/v1/outcomes?workspace=%4",
                                     "/v1/outcomes?workspace=%zz", "/v1/outcomes?other=1", "/v1/outcomes?workspace=a&workspace=b"}) {
        LONGS_EQUAL(400, statusOf("GET", target, secret));
    }
}

// Guards against bodies that differ from the published schema, and against paths that are only in the schema or only in the API.
TEST(AdminHandler, answersAsTheSchemaSays)
{
    m_source.inForce = generateConfiguration(readSample("agency.json"), 3).configuration;
    std::set<std::string> paths;
    for (const AdminRoute &route : adminRoutes()) {
        paths.insert(std::string(route.path));
        const AdminRequest request{.method = std::string(route.method),
                                   .target = std::string(route.path),
                                   .authorization = "Bearer operator-secret-01",
                                   .body = readSample("agency.json")};
        const AdminResponse response = m_handler.handle(request);
        LONGS_EQUAL(2, response.status / 100);
        if (route.path != "/metrics" && route.path != "/v1/schema") {
            expectSchema(request, response);
        }
        const AdminRequest denied{.method = request.method, .target = request.target, .authorization = ""};
        expectSchema(denied, m_handler.handle(denied));
    }
    LONGS_EQUAL(paths.size(), schemaDocument()["paths"].size());
    STRCMP_EQUAL(std::string(administrationSchema()).c_str(), sendRequest("GET", "/v1/schema", "growers-secret-001").body.c_str());
}

// Guards against a node without a configuration that reports an empty one.
TEST(AdminHandler, saysThatNoConfigurationIsInForce)
{
    LONGS_EQUAL(503, statusOf("GET", "/v1/configuration", "reader-secret-0001"));
}

// Guards against an estimate that sheds higher classes before lower ones or leaves out operations that the questionnaire does not have.
TEST(AdminHandler, estimatesTheEffectOfAQuestionnaire)
{
    m_source.inForce = generateConfiguration(readSample("agency.json"), 3).configuration;
    json answers = json::parse(readSample("agency.json"));
    answers["services"][0]["operations"][0]["importance"] = "low";

    const DryRun result = dryRunQuestionnaire(answers.dump(), m_source.inForce, m_source.recentLoad());

    CHECK(result.valid);
    LONGS_EQUAL(1, result.changes.size());
    STRCMP_EQUAL("services/registar/operations/read-record/class", result.changes[0].place.c_str());
    const auto estimate = std::find_if(result.services.begin(), result.services.end(),
                                       [](const ServiceEstimate &each) { return each.service.value() == "registar"; });
    DOUBLES_EQUAL(4000, estimate->callsPerSecond[0], 0.01);
    DOUBLES_EQUAL(4000, estimate->reclassifiedPerSecond, 0.01);
    DOUBLES_EQUAL(1, estimate->unmatchedPerSecond, 0.01);
    DOUBLES_EQUAL(2000, *estimate->capacityPerSecond, 0.01);
    DOUBLES_EQUAL(0.5, estimate->admittedShare[0], 0.01);

    const DryRun invalid = dryRunQuestionnaire("{}", m_source.inForce, m_source.recentLoad());
    CHECK_FALSE(invalid.valid);
    CHECK(invalid.services.empty() && !invalid.findings.empty());
}
